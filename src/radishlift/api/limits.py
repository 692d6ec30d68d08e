"""Bounds on what callers may send, each with a clear refusal."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web

from radishlift.api.readiness import READY_PATH
from radishlift.api.responses import failure_response
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.settings.sections import bounded, section

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@section('api')
@dataclass(frozen=True, slots=True)
class ApiSettings:
    """Bounds of the HTTP interface.

    `max_in_flight_count` bounds the memory that waiting calls take;
    `max_body_bytes` is above the largest body of any service.
    """

    max_in_flight_count: int = bounded(4_096, 1, 100_000)
    max_body_bytes: int = bounded(67_108_864, 1024, 268_435_456)
    max_headers_count: int = bounded(64, 8, 1_000)
    job_timeout_ms: int = bounded(10_000, 100, 120_000)


class LimitsMiddleware:
    """Refuses what exceeds the bounds before a handler sees it."""

    def __init__(self, settings: ApiSettings) -> None:
        self._settings = settings
        self.in_flight_count = 0

    @property
    def middleware(self) -> Callable[..., Awaitable[web.StreamResponse]]:
        """The middleware for aiohttp."""

        @web.middleware
        async def limit(
            request: web.Request,
            handler: Handler,
        ) -> web.StreamResponse:
            if request.path == READY_PATH:
                # A busy daemon is ready: a balancer that takes it out moves
                # its calls to the others, which are as busy.
                return await handler(request)
            refusal = self._refusal(request)
            if refusal is not None:
                return failure_response(refusal)
            return await self._handle(request, handler)

        return limit

    def _refusal(self, request: web.Request) -> Failure | None:
        if self.in_flight_count >= self._settings.max_in_flight_count:
            reason = f'{self.in_flight_count} calls are in flight here'
            return Failure(ErrorKind.overloaded, reason)
        if len(request.headers) > self._settings.max_headers_count:
            reason = f'at most {self._settings.max_headers_count} headers'
            return Failure(ErrorKind.too_large, reason)
        return None

    async def _handle(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        self.in_flight_count += 1
        try:
            return await handler(request)
        except web.HTTPRequestEntityTooLarge as error:
            return failure_response(
                Failure(ErrorKind.too_large, error.text or 'body too large'),
            )
        except web.HTTPException:
            raise
        # The last line of defence: a fault in a handler must become an
        # answer with an unknown outcome, not a closed connection.
        except Exception as error:
            log_event(
                'handler_failed',
                path=request.path,
                error=repr(error),
            )
            return failure_response(Failure(ErrorKind.internal, repr(error)))
        finally:
            self.in_flight_count -= 1


__all__ = ('ApiSettings', 'LimitsMiddleware')
