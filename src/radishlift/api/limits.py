"""Limits on calls to the HTTP interface."""

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
    """Limits of the HTTP interface.

    `max_in_flight_count` limits the memory used by waiting calls;
    `max_body_bytes` is above the largest body of any service.
    """

    max_in_flight_count: int = bounded(4_096, 1, 100_000)
    max_body_bytes: int = bounded(67_108_864, 1024, 268_435_456)
    max_headers_count: int = bounded(64, 8, 1_000)
    job_timeout_ms: int = bounded(10_000, 100, 120_000)


class LimitsMiddleware:
    """Refuses calls that exceed a limit before they reach a handler."""

    def __init__(self, settings: ApiSettings) -> None:
        self._settings = settings
        self.in_flight_count = 0

    @property
    def middleware(self) -> Callable[..., Awaitable[web.StreamResponse]]:
        """The aiohttp middleware function."""

        @web.middleware
        async def limit(
            request: web.Request,
            handler: Handler,
        ) -> web.StreamResponse:
            if request.path == READY_PATH:
                # A busy daemon reports ready: otherwise the load balancer
                # would move its calls to other daemons that are as busy.
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
        # An unexpected exception in a handler must result in a response with
        # an unknown outcome, not in a closed connection.
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
