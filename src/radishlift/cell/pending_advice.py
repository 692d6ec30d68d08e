"""A leader's pending requests to the advice service."""

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
    """Advice requests that wait for a daemon, and handling of their answers.

    `changed` is set when a request was added or a daemon became free.
    """

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
        self._queue = AdviceQueue(
            settings, lambda: planner.last_tick.request_ranks
        )
        planner.count_queued_requests = self._queue.__len__
        self.changed = asyncio.Event()

    def add(self, requests: Iterable[AdviceRequest]) -> None:
        """Adds requests."""
        for request in requests:
            self._queue.add(request)
            self.changed.set()

    @property
    def queued_count(self) -> int:
        """Returns how many requests wait for a daemon."""
        return len(self._queue)

    def is_long(self, request: AdviceRequest) -> bool:
        """Returns whether a request counts against the limit of long ones."""
        return self._queue.is_long(request)

    def pop(self, hosts_count: int, long_count: int) -> AdviceRequest | None:
        """Removes and returns the next request, with up-to-date targets.

        Returns None if no request may be sent now.
        """
        while True:
            request = self._queue.pop(hosts_count, long_count)
            if request is None:
                return None
            updated = self._planner.update_request(request)
            if updated is None:
                continue
            if self.is_long(request) or not self.is_long(updated):
                return updated
            # More targets have made it long, and long ones are limited.
            self._queue.add(updated)

    def store_answer(
        self, request: AdviceRequest, answer: AdviceAnswer
    ) -> None:
        """Stores the tickets of an answer."""
        expires_at_ms = self._clock.monotonic_ms() + answer.valid_ms
        tickets = [
            (target_id, Ticket(text, expires_at_ms))
            for target_id, text in answer.tickets
        ]
        self._tickets.store_answer(request, tickets)
        self._notify()

    def retry_later(self, request: AdviceRequest) -> None:
        """Allows another request for the step after a while.

        The delay doubles with each failure in succession.
        """
        retry_ms = self._tickets.double_retry_ms(
            request.key,
            self._settings.advice_retry_ms,
            self._settings.max_advice_retry_ms,
        )
        now_ms = self._clock.monotonic_ms()
        self._tickets.fail_request(request, now_ms + retry_ms)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self._notify_scheduler()


__all__ = ('PendingAdvice',)
