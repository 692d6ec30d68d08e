"""Queue of workers by the time of their next poll."""

import asyncio
from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from radishlift.workers.session import WorkerSession


class PollSchedule:
    """Priority queue of sessions by next poll time, on the monotonic clock."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, WorkerSession]] = []
        self._entry_ids = count()
        self._earlier_poll_added = asyncio.Event()

    def add(self, session: WorkerSession, at_ms: int) -> None:
        """Sets the time of the next poll, replacing the one set before."""
        session.poll.next_ms = at_ms
        if not self._heap or at_ms < self._heap[0][0]:
            self._earlier_poll_added.set()
        heappush(self._heap, (at_ms, next(self._entry_ids), session))

    def move_earlier(self, session: WorkerSession, at_ms: int) -> bool:
        """Moves the next poll to this time if it is scheduled for later.

        Returns whether it was moved; never moves a poll in progress.
        """
        is_moved = session.poll.next_ms > at_ms and not session.poll.is_running
        if is_moved:
            self.add(session, at_ms)
        return is_moved

    def delay_ms(self, now_ms: int) -> int | None:
        """Returns the time until the next poll, or None if there is none."""
        return self._heap[0][0] - now_ms if self._heap else None

    async def sleep(self, timeout_ms: int) -> None:
        """Sleeps until the timeout or until an earlier first poll is added."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._earlier_poll_added.wait()
        except TimeoutError:
            return
        self._earlier_poll_added.clear()

    def pop_due(self, now_ms: int) -> Iterator[WorkerSession]:
        """Removes and yields the sessions to poll now, marked as running."""
        while self._heap and self._heap[0][0] <= now_ms:
            due_ms, _, session = heappop(self._heap)
            is_replaced = due_ms != session.poll.next_ms
            if is_replaced or session.is_removed or session.poll.is_running:
                continue
            session.poll.is_running = True
            yield session


__all__ = ('PollSchedule',)
