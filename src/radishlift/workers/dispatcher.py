"""Starts, polls and ends the attempts of one partition at its workers.

The owner hands over an attempt only after its journal row is durable. Polls
repeat whatever was not confirmed, so that there is one retry mechanism.
"""

import asyncio
from collections.abc import Coroutine, Iterable, Iterator
from random import Random
from typing import Any, Final

from radishlift.core.clock import Clock
from radishlift.core.ids import WorkerId
from radishlift.core.logs import log_event
from radishlift.placement.jobs import TaskState
from radishlift.workers.attempts import AttemptExchange
from radishlift.workers.client import WorkerClient
from radishlift.workers.events import WorkerEvents
from radishlift.workers.leases import FormerOwners
from radishlift.workers.messages import AttemptKey, OrderKind
from radishlift.workers.polls import WorkerPoll
from radishlift.workers.schedule import PollSchedule
from radishlift.workers.session import (
    AttemptToRun,
    LiveAttempt,
    SessionState,
    WorkerSession,
)
from radishlift.workers.settings import WorkerSettings

# Bounds the tasks of this process when a partition stops thousands at once.
_SENDERS_PER_WORKER: Final = 4
_SLICE_MS: Final = 20


class Dispatcher:
    """Keeps the sessions of a partition's workers.

    After `stop` returns nothing more is sent: a deposed owner neither starts
    nor renews.
    """

    def __init__(
        self,
        client: WorkerClient,
        settings: WorkerSettings,
        clock: Clock,
        events: WorkerEvents,
        former: FormerOwners,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._events = events
        self._former = former
        self._attempts = AttemptExchange(client, settings, clock, events)
        self._polls = WorkerPoll(
            client,
            settings,
            clock,
            events,
            self._attempts,
        )
        self._sessions: dict[WorkerId, WorkerSession] = {}
        self._worker_of: dict[AttemptKey, WorkerId] = {}
        self._schedule = PollSchedule()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopped = False

    @property
    def sessions(self) -> Iterator[WorkerSession]:
        """Iterates over the sessions."""
        return iter(self._sessions.values())

    def set_workers(self, worker_ids: Iterable[WorkerId]) -> None:
        """Replaces the workers by those of the host list.

        A worker that is not on the list is permanently gone, with all of its
        attempts.
        """
        listed = set(worker_ids)
        for worker_id in listed - self._sessions.keys():
            self._add(worker_id)
        for worker_id in self._sessions.keys() - listed:
            self._remove(self._sessions.pop(worker_id))

    def run(self, order: AttemptToRun) -> None:
        """Starts a journaled attempt, and repeats that until it is known."""
        session = self._sessions.get(order.worker_id)
        if session is None:
            session = self._add(order.worker_id)
        live = LiveAttempt(order)
        session.attempts[order.key] = live
        self._worker_of[order.key] = order.worker_id
        # A former owner may have started it: the first report tells.
        if not order.is_inherited:
            self._enqueue(session, live)

    def order(self, key: AttemptKey, kind: OrderKind) -> None:
        """Orders a stop, throttle or checkpoint of an attempt."""
        session = self._session_of(key)
        if session is None or session.attempts[key].is_ended:
            return
        session.attempts[key].pending_orders[kind] = None
        self._enqueue(session, session.attempts[key])

    def forget(self, key: AttemptKey) -> None:
        """Drops an attempt whose end is durable, here and at its worker."""
        session = self._session_of(key)
        if session is None:
            return
        self._worker_of.pop(key)
        live = session.attempts.pop(key)
        live.is_ended = True
        if live.order.incarnation == session.incarnation and live.may_run:
            session.to_forget[key] = None

    def live(self, key: AttemptKey) -> LiveAttempt | None:
        """Looks up an attempt that was not forgotten."""
        session = self._session_of(key)
        return None if session is None else session.attempts[key]

    async def run_forever(self) -> None:
        """Polls workers when they are due, until cancelled."""
        while not self._is_stopped:
            self.poll_due()
            self.end_lapsed()
            await asyncio.sleep(_SLICE_MS / 1000)

    def poll_due(self) -> None:
        """Begins the polls that are due."""
        now_ms = self._clock.monotonic_ms()
        for session in self._schedule.take_due(now_ms):
            self._spawn(self._poll(session))

    def end_lapsed(self) -> None:
        """Ends the attempts at unreachable workers whose leases lapsed."""
        for session in self._sessions.values():
            if session.state is SessionState.unreachable:
                self._end_lapsed(session)

    async def stop(self) -> None:
        """Cancels all exchanges; nothing is sent after it returns."""
        self._is_stopped = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for session in self._sessions.values():
            session.close()

    def _add(self, worker_id: WorkerId) -> WorkerSession:
        session = WorkerSession(worker_id)
        self._sessions[worker_id] = session
        self._poll_in(session, 0)
        return session

    def _remove(self, session: WorkerSession) -> None:
        log_event('worker_gone', worker=session.worker_id)
        incarnations = {
            live.order.incarnation for live in session.attempts.values()
        }
        for live in list(session.attempts.values()):
            self._attempts.end(
                session,
                live,
                TaskState.queued,
                'worker is gone from the host list',
            )
        if session.incarnation is not None:
            incarnations.add(session.incarnation)
        session.close()
        for incarnation in incarnations:
            self._events.worker_lost(session.worker_id, incarnation)

    def _session_of(self, key: AttemptKey) -> WorkerSession | None:
        worker_id = self._worker_of.get(key)
        session = None
        if worker_id is not None:
            session = self._sessions.get(worker_id)
        if session is None:
            self._worker_of.pop(key, None)
        return session

    def _poll_in(self, session: WorkerSession, delay_ms: int) -> None:
        self._schedule.add(session, self._clock.monotonic_ms() + delay_ms)

    async def _poll(self, session: WorkerSession) -> None:
        was_connected = session.state is SessionState.connected
        try:
            answered = await self._polls.poll(session)
        finally:
            session.is_polling = False
        if session.is_gone:
            return
        if not answered:
            self._poll_in(session, self._settings.retry_interval_ms)
            return
        session.is_poll_wanted = False
        for live in session.attempts.values():
            if live.needs_attention:
                self._enqueue(session, live)
        interval_ms = self._settings.report_interval_ms
        if not was_connected:
            # The first polls come all at once; later ones are spread out.
            interval_ms = Random(session.worker_id).randrange(interval_ms)
        self._poll_in(session, interval_ms)

    def _enqueue(self, session: WorkerSession, live: LiveAttempt) -> None:
        if live.is_queued or self._is_stopped:
            return
        live.is_queued = True
        session.queue.append(live)
        if session.sender_count < _SENDERS_PER_WORKER:
            session.sender_count += 1
            self._spawn(self._send_queued(session))

    async def _send_queued(self, session: WorkerSession) -> None:
        try:
            while session.queue:
                live = session.queue.popleft()
                live.is_queued = False
                await self._attend(session, live)
        finally:
            session.sender_count -= 1
        if session.is_poll_wanted and not session.is_gone:
            session.is_poll_wanted = False
            self._poll_in(session, self._settings.retry_interval_ms)

    async def _attend(self, session: WorkerSession, live: LiveAttempt) -> None:
        if live.is_in_flight:
            return
        live.is_in_flight = True
        orders = len(live.pending_orders)
        try:
            await self._attempts.attend(session, live)
        finally:
            live.is_in_flight = False
        # An order that came meanwhile was not seen by this exchange.
        if len(live.pending_orders) > orders and not live.is_ended:
            self._enqueue(session, live)

    def _end_lapsed(self, session: WorkerSession) -> None:
        now_ms = self._clock.monotonic_ms()
        is_own_lapsed = (
            session.clock.bound_ms(self._settings.lease_ms) <= now_ms
        )
        is_former_lapsed = self._former.have_ended(now_ms)
        for live in list(session.attempts.values()):
            is_lapsed = is_own_lapsed and (
                is_former_lapsed or not live.order.is_inherited
            )
            if not live.may_run:
                reason = 'worker was unreachable before the start'
            elif is_lapsed:
                reason = 'lease lapsed at an unreachable worker'
            else:
                continue
            self._attempts.end(session, live, TaskState.queued, reason)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


__all__ = ('Dispatcher',)
