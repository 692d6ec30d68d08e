"""Starts, polls and ends the attempts of one partition at its workers.

The owner hands over an attempt only after its journal row is durable. Polls
repeat whatever was not confirmed, so that there is one retry mechanism.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.ids import Incarnation, WorkerId
from radishlift.core.logs import log_event
from radishlift.placement.jobs import TaskState
from radishlift.placement.orders import OrderKind
from radishlift.workers.attempts import AttemptExchange
from radishlift.workers.client import WorkerClient
from radishlift.workers.events import WorkerEvents
from radishlift.workers.lapses import LapseJudge
from radishlift.workers.leases import FormerOwners
from radishlift.workers.messages import AttemptKey
from radishlift.workers.poll_plan import PollPlan
from radishlift.workers.polls import WorkerPoll
from radishlift.workers.senders import Senders, TaskGroup
from radishlift.workers.session import (
    AttemptToRun,
    LiveAttempt,
    SessionState,
    WorkerSession,
)
from radishlift.workers.settings import WorkerSettings

_MIN_SLEEP_MS: Final = 5
_MAX_SLEEP_MS: Final = 1000
# Looking for lapses scans all sessions.
_LAPSES_INTERVAL_MS: Final = 50


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
        self._attempts = AttemptExchange(client, settings, clock, events)
        self._plan = PollPlan(client.pace, settings, clock)
        self._polls = WorkerPoll(
            client,
            settings,
            clock,
            events,
            self._attempts,
        )
        self._lapses = LapseJudge(self._attempts, former, settings.lease_ms)
        self._tasks = TaskGroup()
        self._senders = Senders(
            self._attempts,
            self._tasks,
            self._plan.after_sending,
        )
        self._sessions: dict[WorkerId, WorkerSession] = {}
        self._worker_of: dict[AttemptKey, WorkerId] = {}

    def set_workers(
        self,
        assigned: Iterable[WorkerId],
        listed: Collection[WorkerId],
    ) -> None:
        """Takes over the workers of this partition and the host list.

        A worker that is no longer on the host list is permanently gone, with
        all of its attempts. One that was never listed here may be newer than
        the lagging list and is kept for `host_list_lag_ms`.
        """
        for worker_id in assigned:
            if worker_id not in self._sessions:
                self._add(worker_id)
        oldest_ms = self._clock.monotonic_ms() - self._settings.host_list_lag_ms
        for worker_id, session in list(self._sessions.items()):
            if worker_id in listed:
                session.is_listed = True
            elif session.is_listed or session.added_at_ms <= oldest_ms:
                self._remove(self._sessions.pop(worker_id))

    def drop_others(
        self,
        is_kept: Callable[[WorkerId], bool],
    ) -> tuple[WorkerId, ...] | None:
        """Ends the polls of workers that another partition gets.

        Returns the dropped workers; None, and drops none, while one of them
        answers and has to be told something.
        """
        others = [
            session
            for session in self._sessions.values()
            if not is_kept(session.worker_id)
        ]
        if any(session.is_owing for session in others):
            return None
        for session in others:
            self._sessions.pop(session.worker_id)
            session.close()
        return tuple(session.worker_id for session in others)

    def expect(self, worker_id: WorkerId, incarnation: Incarnation) -> None:
        """Adds a worker that a former owner has used."""
        session = self._sessions.get(worker_id) or self._add(worker_id)
        session.incarnation = incarnation
        session.is_expected = True

    def run(self, order: AttemptToRun) -> None:
        """Starts a journaled attempt, and repeats that until it is known."""
        if self._tasks.is_closed:
            return
        session = self._sessions.get(order.worker_id)
        if session is None:
            session = self._add(order.worker_id)
        live = LiveAttempt(order)
        session.attempts[order.key] = live
        self._worker_of[order.key] = order.worker_id
        latest_ms = self._clock.monotonic_ms()
        latest_ms += self._settings.report_interval_ms
        self._plan.schedule.add_if_later(session, latest_ms)
        # A former owner may have started it: the first report tells.
        if not order.is_inherited:
            self._senders.enqueue(session, live)

    def order(self, key: AttemptKey, kind: OrderKind) -> None:
        """Orders a stop, throttle or checkpoint of an attempt."""
        session = self._session_of(key)
        if session is None or session.attempts[key].is_ended:
            return
        session.attempts[key].pending_orders[kind] = None
        self._senders.enqueue(session, session.attempts[key])

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

    async def run_forever(self) -> None:
        """Polls workers when they are due, until cancelled."""
        next_check_ms = 0
        longest_ms = _MAX_SLEEP_MS
        while not self._tasks.is_closed:
            self.poll_due()
            now_ms = self._clock.monotonic_ms()
            if now_ms >= next_check_ms:
                may_lapse = self.end_lapsed()
                longest_ms = _LAPSES_INTERVAL_MS if may_lapse else _MAX_SLEEP_MS
                next_check_ms = now_ms + _LAPSES_INTERVAL_MS
            delay_ms = self._plan.schedule.delay_ms(now_ms)
            if delay_ms is None:
                delay_ms = longest_ms
            await self._plan.schedule.sleep(
                min(max(delay_ms, _MIN_SLEEP_MS), longest_ms),
            )

    def poll_due(self) -> None:
        """Begins the polls that are due."""
        now_ms = self._clock.monotonic_ms()
        for session in self._plan.schedule.take_due(now_ms):
            self._tasks.spawn(self._poll(session))

    def end_lapsed(self) -> bool:
        """Ends the attempts at unreachable workers whose leases lapsed.

        Returns whether there are unreachable workers.
        """
        now_ms = self._clock.monotonic_ms()
        unreachable = [
            session
            for session in self._sessions.values()
            if session.state is SessionState.unreachable
        ]
        for session in unreachable:
            self._lapses.end_lapsed(session, now_ms)
        return bool(unreachable)

    async def stop(self) -> None:
        """Cancels all exchanges; nothing is sent after it returns."""
        await self._tasks.close()
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()

    def _add(self, worker_id: WorkerId) -> WorkerSession:
        now_ms = self._clock.monotonic_ms()
        session = WorkerSession(worker_id, now_ms)
        self._sessions[worker_id] = session
        self._plan.schedule.add(session, now_ms)
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
        if worker_id is None:
            return None
        session = self._sessions.get(worker_id)
        if session is None:
            self._worker_of.pop(key)
        return session

    async def _poll(self, session: WorkerSession) -> None:
        self._plan.begin(session)
        was_connected = session.is_answering
        answered = False
        try:
            answered = await self._polls.poll(session)
        finally:
            session.poll.is_running = False
            if not answered and not session.has_ended:
                self._plan.retry(session)
        if not answered or session.has_ended:
            return
        session.poll.is_wanted = False
        for live in session.attempts.values():
            if live.needs_attention:
                self._senders.enqueue(session, live)
        self._plan.after_answer(session, was_connected=was_connected)


__all__ = ('Dispatcher',)
