"""Order in which workers are due to be polled."""

import asyncio
from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from radishlift.workers.session import WorkerSession


class PollSchedule:
    """Sessions by the time of their next poll, on the monotonic clock."""

    def __init__(self) -> None:
        self._due: list[tuple[int, int, WorkerSession]] = []
        self._entry_ids = count()
        self._is_earlier = asyncio.Event()

    def add(self, session: WorkerSession, at_ms: int) -> None:
        """Sets the time of the next poll, replacing an earlier one."""
        session.poll.next_ms = at_ms
        if not self._due or at_ms < self._due[0][0]:
            self._is_earlier.set()
        heappush(self._due, (at_ms, next(self._entry_ids), session))

    def add_if_later(self, session: WorkerSession, at_ms: int) -> bool:
        """Moves the next poll to this time if it would come later.

        Returns whether it was moved.
        """
        is_later = session.poll.next_ms > at_ms and not session.poll.is_running
        if is_later:
            self.add(session, at_ms)
        return is_later

    def delay_ms(self, now_ms: int) -> int | None:
        """Returns when the next poll is due; None without one."""
        return self._due[0][0] - now_ms if self._due else None

    async def sleep(self, timeout_ms: int) -> None:
        """Sleeps for the time or until a poll before all others is added."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._is_earlier.wait()
        except TimeoutError:
            return
        self._is_earlier.clear()

    def take_due(self, now_ms: int) -> Iterator[WorkerSession]:
        """Takes the sessions to poll now; they are then being polled."""
        while self._due and self._due[0][0] <= now_ms:
            due_ms, _, session = heappop(self._due)
            is_replaced = due_ms != session.poll.next_ms
            if is_replaced or session.has_ended or session.poll.is_running:
                continue
            session.poll.is_running = True
            yield session


__all__ = ('PollSchedule',)
