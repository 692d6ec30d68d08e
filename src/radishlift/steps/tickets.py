"""Tickets of the advice service, which permit steps to run on targets.

The set of targets that may run a step never changes, but tickets expire, so
that an allowed target may need a new ticket.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.ids import QueueName, StepKey, TargetId
from radishlift.steps.targets import Target

# Assumed until the first answer for a queue.
_INITIAL_ALLOWED_SHARE: Final = 0.5
# Weight of one answer in the moving average of the allowed share.
_ALLOWED_SHARE_GAIN: Final = 0.2


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to start the tasks of a step on a target."""

    text: str
    expires_at_ms: int


@dataclass(slots=True)
class StepAdvice:
    """Answers of the advice service about the targets of one step.

    `requested` are the targets of all open and answered requests, and `open`
    those of open ones. `open_since_ms` is when the first of the open requests
    was created, and `has_unused_answer` whether no task has started since the
    latest answer. `retry_ms` is the delay after the latest failed request; 0
    after an answer.
    """

    requested: set[TargetId] = field(default_factory=set)
    open: set[TargetId] = field(default_factory=set)
    open_requests_count: int = 0
    allowed: dict[TargetId, Ticket] = field(default_factory=dict)
    retry_at_ms: int = 0
    open_since_ms: int = 0
    has_unused_answer: bool = False
    retry_ms: int = 0

    def list_expiring(
        self, target_ids: Iterable[TargetId], expires_before_ms: int
    ) -> list[TargetId]:
        """Lists allowed targets that need a ticket that is not requested."""
        return [
            target_id
            for target_id in target_ids
            if target_id not in self.open
            and self.allowed[target_id].expires_at_ms < expires_before_ms
        ]


class TicketTable:
    """Advice of all steps that wait for targets.

    `granted_count` and `used_count` are the numbers of tickets that the service
    has granted, and with which tasks were started. `answers_count` and
    `used_answers_count` are the same for its answers; `answers_ms` is the time
    that the service took for them.
    """

    def __init__(self) -> None:
        self.granted_count = 0
        self.used_count = 0
        self.answers_count = 0
        self.used_answers_count = 0
        self.answers_ms = float(0)
        self._steps: dict[StepKey, StepAdvice] = {}
        self._allowed_shares: dict[QueueName, float] = {}

    def __len__(self) -> int:
        return len(self._steps)

    def advice_for(self, key: StepKey) -> StepAdvice:
        """Returns the advice of a step; adds an empty one if it has none."""
        return self._steps.setdefault(key, StepAdvice())

    def allowed_share(self, queue: QueueName) -> float:
        """Returns the mean share of targets that steps of a queue may use."""
        return self._allowed_shares.get(queue, _INITIAL_ALLOWED_SHARE)

    def start_request(self, request: AdviceRequest) -> None:
        """Records that a request is open."""
        advice = self.advice_for(request.key)
        if not advice.open_requests_count:
            advice.open_since_ms = request.created_at_ms
        advice.open_requests_count += 1
        advice.open.update(request.target_ids)
        advice.requested.update(request.target_ids)

    def store_answer(
        self,
        request: AdviceRequest,
        tickets: Collection[tuple[TargetId, Ticket]],
    ) -> None:
        """Stores the answer to a request."""
        advice = self._close_request(request)
        if not advice.allowed.keys() & request.target_ids:
            # Renewals name allowed targets only.
            self._update_allowed_share(
                request.queue, len(tickets) / len(request.target_ids)
            )
        advice.allowed.update(tickets)
        self.granted_count += len(tickets)
        self.answers_count += 1
        self.answers_ms += request.duration_ms
        advice.has_unused_answer = True
        advice.retry_ms = 0

    def record_starts(self, used: Iterable[tuple[StepKey, TargetId]]) -> None:
        """Counts the tickets and answers with which tasks are started."""
        for key, _ in set(used):
            self.used_count += 1
            advice = self._steps.get(key)
            if advice is not None and advice.has_unused_answer:
                advice.has_unused_answer = False
                self.used_answers_count += 1

    def double_retry_ms(self, key: StepKey, first_ms: int, max_ms: int) -> int:
        """Doubles and returns the delay after a failed request of a step."""
        advice = self._steps.get(key) or StepAdvice()
        advice.retry_ms = min(max(2 * advice.retry_ms, first_ms), max_ms)
        return advice.retry_ms

    def fail_request(self, request: AdviceRequest, retry_at_ms: int) -> None:
        """Closes a failed request; the next may be sent at `retry_at_ms`."""
        advice = self._close_request(request)
        advice.requested.difference_update(
            set(request.target_ids) - advice.allowed.keys()
        )
        advice.retry_at_ms = retry_at_ms

    def withdraw_request(self, request: AdviceRequest) -> None:
        """Closes a request that was not sent."""
        advice = self._steps.get(request.key)
        if advice is not None:
            self.fail_request(request, advice.retry_at_ms)

    def expire_ticket(self, key: StepKey, target_id: TargetId) -> None:
        """Invalidates a ticket that the target rejected."""
        advice = self._steps.get(key)
        if advice is not None and target_id in advice.allowed:
            advice.allowed[target_id] = Ticket('', 0)

    def remove_step(self, key: StepKey) -> None:
        """Removes the advice of a step that needs no more tickets."""
        self._steps.pop(key, None)

    def _close_request(self, request: AdviceRequest) -> StepAdvice:
        # The step may have ended meanwhile; its advice is not kept then.
        advice = self._steps.get(request.key) or StepAdvice()
        advice.open_requests_count = max(0, advice.open_requests_count - 1)
        advice.open.difference_update(request.target_ids)
        return advice

    def _update_allowed_share(self, queue: QueueName, share: float) -> None:
        before = self._allowed_shares.get(queue, share)
        self._allowed_shares[queue] = before + _ALLOWED_SHARE_GAIN * (
            share - before
        )


def valid_ticket_filter(
    advice: StepAdvice,
    expires_after_ms: int,
) -> Callable[[Target], bool]:
    """Returns a predicate for targets with a ticket valid after a time."""

    def is_valid(target: Target) -> bool:
        ticket = advice.allowed.get(target.entry.target_id)
        return ticket is not None and ticket.expires_at_ms > expires_after_ms

    return is_valid


__all__ = ('StepAdvice', 'Ticket', 'TicketTable', 'valid_ticket_filter')
