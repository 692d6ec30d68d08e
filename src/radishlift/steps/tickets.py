"""Tickets of the advice service, which permit steps to run on targets.

The set of targets that may run a step never changes, but tickets expire, so
that an allowed target may need a new ticket.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from radishlift.steps.ids import StepKey, TargetId


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to start the tasks of a step on a target."""

    text: str
    expires_at_ms: int


@dataclass(slots=True)
class StepAdvice:
    """Answers of the advice service about the targets of one step."""

    requested: set[TargetId] = field(default_factory=set)
    allowed: dict[TargetId, Ticket] = field(default_factory=dict)
    has_open_request: bool = False
    retry_at_ms: int = 0


class TicketTable:
    """Advice of all steps that wait for targets."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, StepAdvice] = {}

    def advice_for(self, key: StepKey) -> StepAdvice:
        """Returns the advice of a step; adds an empty one if it has none."""
        return self._steps.setdefault(key, StepAdvice())

    def start_request(self, key: StepKey) -> None:
        """Marks that a request for a step is open."""
        self.advice_for(key).has_open_request = True

    def store_answer(
        self,
        key: StepKey,
        requested: Collection[TargetId],
        tickets: Iterable[tuple[TargetId, Ticket]],
    ) -> None:
        """Stores the answer to a request."""
        advice = self.advice_for(key)
        advice.has_open_request = False
        advice.requested.update(requested)
        advice.allowed.update(tickets)

    def fail_request(self, key: StepKey, retry_at_ms: int) -> None:
        """Closes a failed request; the next may be sent at `retry_at_ms`."""
        advice = self.advice_for(key)
        advice.has_open_request = False
        advice.retry_at_ms = retry_at_ms

    def expire_ticket(self, key: StepKey, target_id: TargetId) -> None:
        """Invalidates a ticket that the target rejected."""
        advice = self.advice_for(key)
        if target_id in advice.allowed:
            advice.allowed[target_id] = Ticket('', 0)

    def remove_step(self, key: StepKey) -> None:
        """Removes the advice of a step that needs no more tickets."""
        self._steps.pop(key, None)


__all__ = ('StepAdvice', 'Ticket', 'TicketTable')
