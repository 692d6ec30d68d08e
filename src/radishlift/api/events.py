"""HTTP handler for the recent events of the cell."""

from collections.abc import Mapping
from typing import Final

from aiohttp import web

from radishlift.api.responses import failure_response, json_response
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.events import EVENT_LEVELS, EVENT_RANKS
from radishlift.report.event_collector import EventCollector
from radishlift.report.event_history import MAX_EVENTS_COUNT, EventsFetch

_DEFAULT_AGE_MS: Final = 3_600_000
_MAX_AGE_MS: Final = 7 * 24 * 3_600_000
_DEFAULT_LIMIT_COUNT: Final = 100
_LEVELS: Final = tuple(level for level in EVENT_RANKS if level != 'DEBUG')


class EventHandlers:
    """Handles `GET /v1/events`."""

    def __init__(self, collector: EventCollector) -> None:
        self._collector = collector

    def add_routes(self, app: web.Application) -> None:
        """Adds the route to an application."""
        app.router.add_get('/v1/events', self.show)

    async def show(self, request: web.Request) -> web.Response:
        """Returns the newest matching events of all daemons.

        Query parameters are `max_age_ms` (default 1 h), `level` (the lowest
        level), `event` (an event name) and `limit` (default 100).
        """
        query = parse_events_query(request.query)
        if isinstance(query, Failure):
            return failure_response(query)
        return json_response(await self._collector.collect(query))


def parse_events_query(given: Mapping[str, str]) -> EventsFetch | Failure:
    """Parses a query; an `invalid_input` failure names the allowed values."""
    max_age_ms = _parse_bounded(
        given, 'max_age_ms', _DEFAULT_AGE_MS, _MAX_AGE_MS
    )
    if isinstance(max_age_ms, Failure):
        return max_age_ms
    limit_count = _parse_bounded(
        given, 'limit', _DEFAULT_LIMIT_COUNT, MAX_EVENTS_COUNT
    )
    if isinstance(limit_count, Failure):
        return limit_count
    level = given.get('level', 'INFO')
    if level not in _LEVELS:
        return _invalid_parameter(
            'level', level, f'one of {", ".join(_LEVELS)}'
        )
    event = given.get('event', '')
    if event and event not in EVENT_LEVELS:
        return _invalid_parameter('event', event, 'the name of a log event')
    return EventsFetch(max_age_ms, level, event, limit_count)


def _parse_bounded(
    given: Mapping[str, str],
    name: str,
    default: int,
    highest: int,
) -> int | Failure:
    text = given.get(name)
    if text is None:
        return default
    # Text with more digits than the limit is out of range; it is not parsed.
    if text.isascii() and text.isdecimal() and len(text) <= len(str(highest)):
        number = int(text)
        if 0 < number <= highest:
            return number
    return _invalid_parameter(name, text, f'a whole number from 1 to {highest}')


def _invalid_parameter(name: str, given: str, allowed: str) -> Failure:
    reason = f'{name}={given!r:.60}: allowed is {allowed}'
    return Failure(ErrorKind.invalid_input, reason)


__all__ = ('EventHandlers', 'parse_events_query')
