"""A leader's questions to the advice service, and what their answers change."""

import asyncio
from collections.abc import Callable, Iterable

from radishlift.cell.ports import AdviceAnswer
from radishlift.core.clock import Clock
from radishlift.steps.advice_queue import AdviceQueue
from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.planner import Planner
from radishlift.steps.settings import StepSettings
from radishlift.steps.tickets import Ticket, TicketTable


class PendingAdvice:
    """Questions that are not answered yet; `changed` calls for a look."""

    def __init__(
        self,
        planner: Planner,
        tickets: TicketTable,
        settings: StepSettings,
        clock: Clock,
        notify_scheduler: Callable[[], None],
    ) -> None:
        self._planner = planner
        self._tickets = tickets
        self._settings = settings
        self._clock = clock
        self._notify_scheduler = notify_scheduler
        self._queue = AdviceQueue(settings)
        self.changed = asyncio.Event()

    def add(self, requests: Iterable[AdviceRequest]) -> None:
        """Adds questions."""
        for request in requests:
            self._queue.add(request)
            self.changed.set()

    def is_long(self, request: AdviceRequest) -> bool:
        """Tells whether a question keeps a host from urgent ones."""
        return self._queue.is_long(request)

    def pop(self, hosts_count: int, long_count: int) -> AdviceRequest | None:
        """Takes the next question of a step that still waits."""
        while True:
            request = self._queue.pop(hosts_count, long_count)
            if request is None or self._planner.is_waiting(request.key):
                return request
            # Its step may wait again later.
            self._tickets.fail_request(request.key, 0)

    def store_answer(
        self, request: AdviceRequest, answer: AdviceAnswer
    ) -> None:
        """Takes over the tickets of an answer."""
        expires_at_ms = self._clock.monotonic_ms() + answer.valid_ms
        tickets = [
            (target_id, Ticket(text, expires_at_ms))
            for target_id, text in answer.tickets
        ]
        self._tickets.store_answer(request.key, request.target_ids, tickets)
        self._notify()

    def retry_later(self, request: AdviceRequest) -> None:
        """Lets a question be asked again after a pause."""
        retry_ms = self._settings.advice_retry_ms
        now_ms = self._clock.monotonic_ms()
        self._tickets.fail_request(request.key, now_ms + retry_ms)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self._notify_scheduler()


__all__ = ('PendingAdvice',)
