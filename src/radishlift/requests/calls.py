"""An admitted request on its way to an executor."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from radishlift.config.document import Service
from radishlift.core.clock import Clock
from radishlift.core.errors import Failure, Outcome
from radishlift.core.ids import ExecutorId
from radishlift.requests.api import ServiceRequest


@dataclass(slots=True)
class Call:
    """One request with its limits and what happened to it so far.

    `rank` orders classes; 0 is the most urgent. `sent_failure` is the
    failure of an attempt that may have reached an executor, `late` gets the
    exchange that goes on after the wait for it has ended. `nonce` is that of
    the grant of a keyed request.
    """

    request: ServiceRequest
    service: Service
    clock: Clock
    deadline_at_ms: int
    rank: int
    excluded: set[ExecutorId] = field(default_factory=set)
    attempts_count: int = 0
    forwards_count: int = 0
    sent_failure: Failure | None = None
    sequence: int | None = None
    late_exchange: 'asyncio.Future[Any] | None' = None
    nonce: str = ''

    @property
    def remaining_ms(self) -> int:
        """Returns the time left until the deadline."""
        return self.deadline_at_ms - self.clock.monotonic_ms()

    @property
    def may_retry(self) -> bool:
        """Tells whether a second execution would do no harm."""
        request = self.request
        return request.is_idempotent and not request.idempotency_key

    @property
    def home_key(self) -> str:
        """Returns the idempotency key as its home knows it."""
        return f'{self.request.service}/{self.request.idempotency_key}'

    def record_failure(self, failure: Failure) -> None:
        """Remembers a failed attempt that may have run."""
        if failure.answer.outcome is not Outcome.not_run:
            self.sent_failure = failure

    def failure_for_caller(self, failure: Failure) -> Failure:
        """Returns what may be said: "not run" only if no attempt was sent."""
        return self.sent_failure or failure


def urgency_rank(service: Service, request_class: str) -> int:
    """Returns the place of a class in the order of urgency."""
    if request_class in service.urgent_classes:
        return service.urgent_classes.index(request_class)
    return len(service.urgent_classes)


__all__ = ('Call', 'urgency_rank')
