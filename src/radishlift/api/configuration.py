"""HTTP handlers for the configuration document."""

import hmac

from aiohttp import web

from radishlift.api.responses import failure_response, result_response
from radishlift.config.bodies import (
    CHANGE_TOKEN_HEADER,
    ChangeBody,
    HistoryBody,
    HttpAnswer,
    change_answer,
    document_answer,
    refused_answer,
)
from radishlift.config.changes import Change, ChangeResult
from radishlift.config.distributor import ConfigDistributor
from radishlift.config.store import ConfigStore
from radishlift.core.codec import parse_json
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion

_MAX_LISTED_COUNT = 100


class ConfigHandlers:
    """Handles `/v1/config`; a change requires the change token.

    Without a token in the settings, all changes are refused.
    """

    def __init__(
        self,
        distributor: ConfigDistributor,
        store: ConfigStore,
        change_token: str,
    ) -> None:
        self._distributor = distributor
        self._store = store
        self._change_token = change_token

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_get('/v1/config', self.show)
        app.router.add_put('/v1/config', self.change)
        app.router.add_get('/v1/config/status', self.show_status)
        app.router.add_get('/v1/config/history', self.show_history)

    async def show(self, request: web.Request) -> web.Response:
        """Returns the document in force, or the stored version in the query."""
        current = self._distributor.current()
        version = _parse_number(request.query.get('version', ''))
        if current is not None:
            version = version or current.version
        if not version:
            reason = 'no configuration is known yet'
            return failure_response(Failure(ErrorKind.no_configuration, reason))
        snapshot = await self._distributor.snapshot_at(
            ConfigVersion(version),
        )
        if isinstance(snapshot, Failure):
            return failure_response(snapshot)
        return _to_response(document_answer(snapshot))

    async def show_status(self, _request: web.Request) -> web.Response:
        """Returns the versions in force on all daemons."""
        return result_response(await self._distributor.refresh_status())

    async def show_history(self, request: web.Request) -> web.Response:
        """Returns stored versions, newest first."""
        before = _parse_number(request.query.get('before', ''))
        count = _parse_number(request.query.get('count', ''))
        history = await self._store.history(
            ConfigVersion(before) if before else None,
            min(count or _MAX_LISTED_COUNT, _MAX_LISTED_COUNT),
        )
        if isinstance(history, Failure):
            return failure_response(history)
        return result_response(HistoryBody(history))

    async def change(self, request: web.Request) -> web.Response:
        """Applies a changed document, or rolls back to an earlier version."""
        given = request.headers.get(CHANGE_TOKEN_HEADER, '')
        if not self._is_token_valid(given):
            reason = f'changes need the token in {CHANGE_TOKEN_HEADER}'
            failure = Failure(ErrorKind.unauthorized, reason)
            return _to_response(refused_answer(failure))
        body = parse_json(await request.read(), ChangeBody)
        if isinstance(body, Failure):
            return _to_response(refused_answer(body))
        return _to_response(change_answer(await self._apply(body)))

    async def _apply(self, body: ChangeBody) -> ChangeResult:
        if body.rollback_to:
            return await self._distributor.rollback(
                body.rollback_to,
                body.base,
                body.who,
                body.why,
            )
        change = Change(body.text, body.base, body.who, body.why)
        return await self._distributor.change(change)

    def _is_token_valid(self, given: str) -> bool:
        expected = self._change_token.encode()
        is_equal = hmac.compare_digest(given.encode(), expected)
        return bool(self._change_token) and is_equal


def _parse_number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0


def _to_response(answer: HttpAnswer) -> web.Response:
    return web.json_response(answer.body, status=answer.status)


__all__ = ('ConfigHandlers',)
