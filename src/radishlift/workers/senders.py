"""Sends the requests of attempts with a bounded concurrency per worker."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from radishlift.core.logs import log_event
from radishlift.workers.attempts import AttemptExchange
from radishlift.workers.session import LiveAttempt, WorkerSession

# Bounds the asyncio tasks when a partition stops thousands of attempts at once.
_SENDERS_PER_WORKER: Final = 4


class TaskGroup:
    """Group of asyncio tasks that are cancelled together.

    Unlike in `asyncio.TaskGroup`, an error in one task is only logged.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_closed = False

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine until it ends or the group is closed."""
        if self.is_closed:
            coroutine.close()
            return
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    async def close(self) -> None:
        """Cancels all tasks and waits for them."""
        self.is_closed = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event('task_failed', reason=task.exception())


class Senders:
    """Processes the send queues of sessions.

    Each attempt is queued at most once and in flight at most once at a time.
    `on_drained` is called when a sender finds the queue empty.
    """

    def __init__(
        self,
        attempts: AttemptExchange,
        tasks: TaskGroup,
        on_drained: Callable[[WorkerSession], None],
    ) -> None:
        self._attempts = attempts
        self._tasks = tasks
        self._on_drained = on_drained

    def enqueue(self, session: WorkerSession, attempt: LiveAttempt) -> None:
        """Queues an attempt that has requests to send."""
        if attempt.is_queued or self._tasks.is_closed:
            return
        attempt.is_queued = True
        session.queue.append(attempt)
        if session.sender_count < _SENDERS_PER_WORKER:
            session.sender_count += 1
            self._tasks.spawn(self._drain(session))

    async def _drain(self, session: WorkerSession) -> None:
        try:
            while session.queue:
                attempt = session.queue.popleft()
                attempt.is_queued = False
                await self._send_pending(session, attempt)
        finally:
            session.sender_count -= 1
        if not session.is_removed:
            self._on_drained(session)

    async def _send_pending(
        self, session: WorkerSession, attempt: LiveAttempt
    ) -> None:
        if attempt.is_in_flight:
            return
        attempt.is_in_flight = True
        orders_count = len(attempt.pending_orders)
        try:
            await self._attempts.send_pending(session, attempt)
        finally:
            attempt.is_in_flight = False
        # An order that was added meanwhile was not part of this exchange.
        if len(attempt.pending_orders) > orders_count:
            self.enqueue(session, attempt)


__all__ = ('Senders', 'TaskGroup')
