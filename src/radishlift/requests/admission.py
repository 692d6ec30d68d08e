"""Validation and admission of requests."""

import re
from collections import Counter
from typing import Final

from radishlift.config.document import Service
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DepartmentName
from radishlift.requests.api import ServiceRequest
from radishlift.requests.calls import Call, urgency_rank
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.settings import RequestSettings

# The values are sent as headers, so they must not contain line ends.
_HEADER_VALUE: Final = re.compile(r'[!-~]{1,200}')


class Admission:
    """Admits requests and counts those in flight per department."""

    def __init__(
        self,
        limits: ServiceLimits,
        clock: Clock,
        settings: RequestSettings,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._settings = settings
        self._in_flight: Counter[DepartmentName] = Counter()
        self.is_draining = False

    @property
    def in_flight_count(self) -> int:
        """Returns the number of admitted requests that have not ended."""
        return self._in_flight.total()

    def admit(self, request: ServiceRequest) -> Call | Failure:
        """Admits a request; the caller must `release` each admitted call."""
        if self.is_draining:
            return Failure(ErrorKind.draining, 'this daemon is stopping')
        call = self.make_call(request)
        if isinstance(call, Failure):
            return call
        department = DepartmentName(call.service.department)
        limit = self._settings.max_department_count
        if self._in_flight[department] >= limit:
            reason = f'{department} has {limit} requests in flight here'
            return Failure(ErrorKind.quota_exceeded, reason)
        self._in_flight[department] += 1
        return call

    def release(self, call: Call) -> None:
        """Stops counting an admitted call as in flight."""
        department = DepartmentName(call.service.department)
        self._in_flight[department] -= 1

    def make_call(self, request: ServiceRequest) -> Call | Failure:
        """Validates a request and makes a call with its deadline."""
        if not self._limits.has_document:
            return Failure(
                ErrorKind.no_configuration,
                'no configuration document has been read',
            )
        service = self._limits.service(request.service)
        if service is None:
            reason = f'there is no service {request.service!r:.80}'
            return Failure(ErrorKind.not_found, reason)
        failure = self._check_bounds(request, service)
        if failure is not None:
            return failure
        remaining_ms = request.deadline_ms
        if remaining_ms is None:
            remaining_ms = service.default_deadline_ms
        if remaining_ms <= 0:
            return Failure(ErrorKind.deadline_passed, 'the deadline has passed')
        remaining_ms = min(remaining_ms, service.max_deadline_ms)
        return Call(
            request,
            service,
            self._clock,
            self._clock.monotonic_ms() + remaining_ms,
            urgency_rank(service, request.request_class),
        )

    def _check_bounds(
        self,
        request: ServiceRequest,
        service: Service,
    ) -> Failure | None:
        if len(request.body) > service.max_body_bytes:
            reason = f'body exceeds {service.max_body_bytes} bytes'
            return Failure(ErrorKind.too_large, reason)
        if len(request.headers) > self._settings.max_headers_count:
            reason = f'more than {self._settings.max_headers_count} headers'
            return Failure(ErrorKind.too_large, reason)
        size_bytes = sum(
            len(name) + len(text) for name, text in request.headers
        )
        if size_bytes > self._settings.max_header_bytes:
            reason = f'headers exceed {self._settings.max_header_bytes} bytes'
            return Failure(ErrorKind.too_large, reason)
        return _check_header_values(request)


def _check_header_values(request: ServiceRequest) -> Failure | None:
    header_values = {
        'request id': request.request_id,
        'idempotency key': request.idempotency_key or '-',
        'class': request.request_class or '-',
    }
    for name, text in header_values.items():
        if not _HEADER_VALUE.fullmatch(text):
            reason = f'{name} is not 1 to 200 visible ASCII characters'
            return Failure(ErrorKind.invalid_input, reason)
    return None


__all__ = ('Admission',)
