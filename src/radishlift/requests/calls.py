"""Admitted requests that are not answered yet."""

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
    """One request with its limits and the state of its attempts.

    `rank` orders request classes; 0 is the most urgent. `excluded` holds the
    executors that are not tried again. `sent_failure` is the failure of the
    last attempt that may have reached an executor. `sequence` is the arrival
    number in the wait queue. `late_exchange` completes when an exchange ends
    after the wait for it. `nonce` is that of the grant of a keyed request.
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
        """Returns the time until the deadline; negative after it."""
        return self.deadline_at_ms - self.clock.monotonic_ms()

    @property
    def may_retry(self) -> bool:
        """Returns whether the request may run a second time."""
        request = self.request
        return request.is_idempotent and not request.idempotency_key

    @property
    def home_key(self) -> str:
        """Returns the idempotency key qualified by the service."""
        return f'{self.request.service}/{self.request.idempotency_key}'

    def record_failure(self, failure: Failure) -> None:
        """Records a failure if the attempt may have run."""
        if failure.answer.outcome is not Outcome.not_run:
            self.sent_failure = failure

    def failure_for_caller(self, failure: Failure) -> Failure:
        """Returns the failure for the caller.

        It is "not run" only if no earlier attempt may have run.
        """
        return self.sent_failure or failure


def urgency_rank(service: Service, request_class: str) -> int:
    """Returns the urgency of a class; 0 is the most urgent."""
    if request_class in service.urgent_classes:
        return service.urgent_classes.index(request_class)
    return len(service.urgent_classes)


__all__ = ('Call', 'urgency_rank')
