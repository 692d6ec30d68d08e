"""HTTP handlers for the configuration document."""

import hmac
from dataclasses import dataclass
from typing import Final, TypeVar

from aiohttp import web

from radishlift.api.answers import answer_of, failure_answer
from radishlift.config.changes import (
    Change,
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeResult,
)
from radishlift.config.parsing import render_document
from radishlift.config.spreader import ConfigSpreader
from radishlift.config.store import ConfigStore
from radishlift.core.codec import dump_plain, parse_json
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion

TOKEN_HEADER: Final = 'Radishlift-Token'

_MAX_LISTED_COUNT: Final = 100

Body = TypeVar('Body')


@dataclass(frozen=True, slots=True)
class ChangeBody:
    """Body of `PUT /v1/config`."""

    base_version: ConfigVersion
    text: str
    who: str
    why: str


@dataclass(frozen=True, slots=True)
class RollbackBody:
    """Body of `POST /v1/config/rollback`."""

    to_version: ConfigVersion
    base_version: ConfigVersion
    who: str
    why: str


class ConfigHandlers:
    """Handles `/v1/config`; changes need the change token if one is set."""

    def __init__(
        self,
        spreader: ConfigSpreader,
        store: ConfigStore,
        change_token: str,
    ) -> None:
        self._spreader = spreader
        self._store = store
        self._change_token = change_token

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_get('/v1/config', self.show)
        app.router.add_put('/v1/config', self.change)
        app.router.add_get('/v1/config/status', self.show_status)
        app.router.add_get('/v1/config/history', self.show_history)
        app.router.add_post('/v1/config/rollback', self.roll_back)

    async def show(self, _request: web.Request) -> web.Response:
        """Answers with the document in force and its version."""
        document = self._spreader.current()
        if document is None:
            reason = 'no configuration is known yet'
            return failure_answer(Failure(ErrorKind.no_configuration, reason))
        return web.json_response(
            {
                'version': document.version,
                'text': render_document(document),
            }
        )

    async def show_status(self, _request: web.Request) -> web.Response:
        """Answers with the versions in force on all daemons."""
        return answer_of(await self._spreader.refresh_status())

    async def show_history(self, request: web.Request) -> web.Response:
        """Answers with kept versions, the newest first."""
        text = request.query.get('before', '')
        before = ConfigVersion(int(text)) if text.isdigit() else None
        history = await self._store.history(before, _MAX_LISTED_COUNT)
        if isinstance(history, Failure):
            return failure_answer(history)
        return web.json_response(
            {
                'versions': [dump_plain(entry) for entry in history],
            }
        )

    async def change(self, request: web.Request) -> web.Response:
        """Accepts a changed document."""
        body = await self._read(request, ChangeBody)
        if isinstance(body, Failure):
            return failure_answer(body)
        change = Change(body.text, body.base_version, body.who, body.why)
        return change_answer(await self._spreader.change(change))

    async def roll_back(self, request: web.Request) -> web.Response:
        """Stores an earlier version as a new one."""
        body = await self._read(request, RollbackBody)
        if isinstance(body, Failure):
            return failure_answer(body)
        outcome = await self._spreader.rollback(
            body.to_version,
            body.base_version,
            body.who,
            body.why,
        )
        return change_answer(outcome)

    async def _read(
        self,
        request: web.Request,
        body_type: type[Body],
    ) -> Body | Failure:
        given = request.headers.get(TOKEN_HEADER, '')
        if not hmac.compare_digest(given, self._change_token):
            reason = f'changes need the token in the header {TOKEN_HEADER}'
            return Failure(ErrorKind.unauthorized, reason)
        return parse_json(await request.read(), body_type)


def change_answer(outcome: ChangeResult) -> web.Response:
    """Answers with the new version, the errors, or the conflict."""
    if isinstance(outcome, Failure):
        return failure_answer(outcome)
    if isinstance(outcome, ChangeAccepted):
        return web.json_response(
            {
                'version': outcome.version,
                'merged': list(outcome.merged),
                'changes': [dump_plain(change) for change in outcome.changes],
            }
        )
    if isinstance(outcome, ChangeInvalid):
        errors = [str(error) for error in outcome.errors]
        return web.json_response(
            {
                'error': ErrorKind.invalid_input.value,
                'outcome': 'not_run',
                'reason': '; '.join(errors),
                'errors': [dump_plain(error) for error in outcome.errors],
            },
            status=400,
        )
    return _conflict_answer(outcome)


def _conflict_answer(conflict: ChangeConflict) -> web.Response:
    fields = [
        f'[{field.section}] {field.key} changed by {field.who}'
        for field in conflict.fields
    ]
    fields.extend(str(error) for error in conflict.errors)
    return web.json_response(
        {
            'error': ErrorKind.conflict.value,
            'outcome': 'not_run',
            'reason': f'version {conflict.head} is newer: {"; ".join(fields)}',
            'head_version': conflict.head,
            'fields': [dump_plain(field) for field in conflict.fields],
            'errors': [dump_plain(error) for error in conflict.errors],
        },
        status=409,
    )


__all__ = ('ConfigHandlers', 'change_answer')
