"""HTTP handlers for requests of callers to services."""

from collections.abc import Awaitable, Callable
from typing import Final
from uuid import uuid4

from aiohttp import web

from radishlift.api.responses import failure_response
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import IdempotencyKey, RequestId, ServiceName
from radishlift.requests.api import ServiceAnswer, ServiceRequest

DEADLINE_HEADER: Final = 'Radishlift-Deadline-Ms'
IDEMPOTENT_HEADER: Final = 'Radishlift-Idempotent'
CLASS_HEADER: Final = 'Radishlift-Class'
KEY_HEADER: Final = 'Idempotency-Key'
REQUEST_ID_HEADER: Final = 'Radishlift-Request-Id'

_MAX_KEY_LENGTH: Final = 200
_RADISHLIFT_HEADERS: Final = frozenset(
    name.lower()
    for name in (DEADLINE_HEADER, IDEMPOTENT_HEADER, CLASS_HEADER, KEY_HEADER)
)
# Hop-by-hop headers are not forwarded (RFC 9110, section 7.6.1).
_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

HandleRequest = Callable[
    [ServiceRequest],
    Awaitable[ServiceAnswer | Failure],
]


class ServiceHandlers:
    """Handles `POST /v1/services/{service}/requests`."""

    def __init__(self, handle_request: HandleRequest) -> None:
        self._handle_request = handle_request

    def add_routes(self, app: web.Application) -> None:
        """Adds the route to an application."""
        path = '/v1/services/{service}/requests'
        app.router.add_post(path, self.handle)

    async def handle(self, request: web.Request) -> web.Response:
        """Reads the whole request, then returns the whole answer."""
        parsed = await parse_request(request)
        if isinstance(parsed, Failure):
            return failure_response(parsed)
        answer = await self._handle_request(parsed)
        if isinstance(answer, Failure):
            response = failure_response(answer)
        else:
            response = web.Response(
                status=answer.status,
                body=answer.body,
                headers={'Content-Type': _content_type(answer)},
            )
        response.headers[REQUEST_ID_HEADER] = parsed.request_id
        return response


async def parse_request(request: web.Request) -> ServiceRequest | Failure:
    """Parses an HTTP request.

    Leaves out hop-by-hop headers and those that the router itself reads.
    """
    deadline_ms = _parse_deadline(request.headers.get(DEADLINE_HEADER))
    if isinstance(deadline_ms, Failure):
        return deadline_ms
    key = request.headers.get(KEY_HEADER, '')
    if len(key) > _MAX_KEY_LENGTH:
        reason = f'{KEY_HEADER} must have at most {_MAX_KEY_LENGTH} characters'
        return Failure(ErrorKind.invalid_input, reason)
    idempotent_text = request.headers.get(IDEMPOTENT_HEADER, 'false').lower()
    if idempotent_text not in {'true', 'false'}:
        reason = f'{IDEMPOTENT_HEADER} must be true or false'
        return Failure(ErrorKind.invalid_input, reason)
    return ServiceRequest(
        service=ServiceName(request.match_info['service']),
        request_id=RequestId(uuid4().hex),
        body=await request.read(),
        headers=_forwarded_headers(request),
        request_class=request.headers.get(CLASS_HEADER, ''),
        deadline_ms=deadline_ms,
        idempotency_key=IdempotencyKey(key),
        is_idempotent=idempotent_text == 'true',
    )


def _forwarded_headers(request: web.Request) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, text)
        for name, text in request.headers.items()
        if name.lower() not in _RADISHLIFT_HEADERS | _HOP_BY_HOP_HEADERS
    )


def _parse_deadline(text: str | None) -> int | Failure | None:
    if text is None:
        return None
    if text.isascii() and text.isdigit() and int(text) > 0:
        return int(text)
    reason = f'{DEADLINE_HEADER} must be a whole number of milliseconds above 0'
    return Failure(ErrorKind.invalid_input, reason)


def _content_type(answer: ServiceAnswer) -> str:
    return answer.content_type or 'application/octet-stream'


__all__ = (
    'CLASS_HEADER',
    'DEADLINE_HEADER',
    'IDEMPOTENT_HEADER',
    'KEY_HEADER',
    'REQUEST_ID_HEADER',
    'ServiceHandlers',
    'parse_request',
)
