"""The recent log events of this daemon, bounded in number and size.

Entry hosts, where daemons run, have no disks, and a log collector may be down
during an incident. So each daemon keeps its recent events and returns them on
request.
"""

from collections import defaultdict, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.events import EVENT_RANKS
from radishlift.report.settings import ReportSettings
from radishlift.wire.messages import message

MAX_EVENTS_COUNT: Final = 500
MAX_FIELD_LENGTH: Final = 200
MAX_FIELDS_COUNT: Final = 12

_LOWEST_RANK: Final = EVENT_RANKS['INFO']
_MERGE_WINDOW_MS: Final = 60_000

Fields = tuple[tuple[str, str], ...]


@message('events_fetch')
@dataclass(frozen=True, slots=True)
class EventsFetch:
    """Requests the newest `limit_count` events that match.

    `level` is the lowest level that matches; an empty `event` matches all.
    Ages are measured on the clock of the daemon that replies.
    """

    max_age_ms: int
    level: str = 'INFO'
    event: str = ''
    limit_count: int = MAX_EVENTS_COUNT


@dataclass(frozen=True, slots=True)
class PastEvent:
    """Equal events of one daemon within a short time, merged into one.

    `age_ms` is the age of the last event and `first_age_ms` of the first.
    """

    level: str
    event: str
    fields: dict[str, str]
    age_ms: int
    first_age_ms: int
    events_count: int


@dataclass(slots=True)
class _Entry:
    event: str
    level: str
    fields: Fields
    first_ms: int
    last_ms: int
    serial: int
    events_count: int = 1


class EventHistory:
    """Keeps recent events; evicts from the event name with the most entries.

    A frequent event therefore does not evict other events.
    """

    def __init__(self, clock: Clock, settings: ReportSettings) -> None:
        self._clock = clock
        self._max_entries_count = settings.kept_events_count
        self._entries_count = 0
        self._serial = 0
        self._by_event: defaultdict[str, deque[_Entry]] = defaultdict(deque)

    def __len__(self) -> int:
        return self._entries_count

    def add(
        self,
        event: str,
        level: str,
        fields: Mapping[str, object],
    ) -> None:
        """Stores an event or counts a repetition; ignores levels below INFO."""
        if EVENT_RANKS[level] < _LOWEST_RANK:
            return
        now_ms = self._clock.monotonic_ms()
        self._serial += 1
        bounded = _bound_fields(fields)
        entries = self._by_event[event]
        known = _find_recent(entries, bounded, now_ms)
        if known is not None:
            known.last_ms = now_ms
            known.serial = self._serial
            known.events_count += 1
            return
        entries.append(
            _Entry(event, level, bounded, now_ms, now_ms, self._serial)
        )
        self._entries_count += 1
        if self._entries_count > self._max_entries_count:
            self._evict_oldest()

    def find(self, query: EventsFetch) -> tuple[PastEvent, ...]:
        """Returns the matching events, newest first."""
        now_ms = self._clock.monotonic_ms()
        found = [
            entry
            for entry in self._matching(query)
            if now_ms - entry.last_ms <= query.max_age_ms
        ]
        found.sort(key=lambda entry: entry.serial, reverse=True)
        limit_count = max(0, min(query.limit_count, MAX_EVENTS_COUNT))
        return tuple(
            _to_past_event(entry, now_ms) for entry in found[:limit_count]
        )

    def _matching(self, query: EventsFetch) -> Iterator[_Entry]:
        lowest_rank = EVENT_RANKS.get(query.level, _LOWEST_RANK)
        for event, entries in self._by_event.items():
            if query.event in {'', event}:
                yield from (
                    entry
                    for entry in entries
                    if EVENT_RANKS[entry.level] >= lowest_rank
                )

    def _evict_oldest(self) -> None:
        longest = max(self._by_event.values(), key=len)
        longest.popleft()
        self._entries_count -= 1


def _bound_fields(fields: Mapping[str, object]) -> Fields:
    shown = tuple(fields.items())[:MAX_FIELDS_COUNT]
    return tuple((name, str(field)[:MAX_FIELD_LENGTH]) for name, field in shown)


def _find_recent(
    entries: deque[_Entry],
    fields: Fields,
    now_ms: int,
) -> _Entry | None:
    for entry in reversed(entries):
        if now_ms - entry.first_ms > _MERGE_WINDOW_MS:
            return None
        if entry.fields == fields:
            return entry
    return None


def _to_past_event(entry: _Entry, now_ms: int) -> PastEvent:
    return PastEvent(
        entry.level,
        entry.event,
        dict(entry.fields),
        now_ms - entry.last_ms,
        now_ms - entry.first_ms,
        entry.events_count,
    )


__all__ = ('MAX_EVENTS_COUNT', 'EventHistory', 'EventsFetch', 'PastEvent')
