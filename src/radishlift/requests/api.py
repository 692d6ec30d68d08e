"""Requests of callers and answers of executors."""

from dataclasses import dataclass

from radishlift.core.ids import IdempotencyKey, RequestId, ServiceName


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request for a service.

    `deadline_ms` is the remaining time; None means the default of the
    service. Repeats of a request have the same `idempotency_key`.
    `is_idempotent` allows retries; it has no effect on a request with a key.
    """

    service: ServiceName
    request_id: RequestId
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    request_class: str = ''
    deadline_ms: int | None = None
    idempotency_key: IdempotencyKey = IdempotencyKey('')
    is_idempotent: bool = False


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A complete answer of an executor to the request sent to it."""

    status: int
    body: bytes
    content_type: str = ''


__all__ = ('ServiceAnswer', 'ServiceRequest')
