"""Starts, polls and ends the attempts of one partition on its workers.

The owner passes an attempt to the dispatcher only after its journal row is
durable. Requests that were not confirmed are repeated after the next poll;
there is no other retry mechanism.
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
from radishlift.workers.lease_expiry import LeaseExpiryChecker
from radishlift.workers.leases import PreviousOwners
from radishlift.workers.messages import AttemptKey
from radishlift.workers.poll_planner import PollPlanner
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
# A check for expired leases scans all sessions.
_EXPIRY_CHECK_INTERVAL_MS: Final = 50


class Dispatcher:
    """Manages the sessions of a partition's workers.

    Nothing is sent after `stop` returns, so a deposed owner neither starts
    attempts nor renews leases.
    """

    def __init__(
        self,
        client: WorkerClient,
        settings: WorkerSettings,
        clock: Clock,
        events: WorkerEvents,
        previous_owners: PreviousOwners,
    ) -> None:
        self._client = client
        self._settings = settings
        self._clock = clock
        self._events = events
        self._attempts = AttemptExchange(client, settings, clock, events)
        self._poll_planner = PollPlanner(
            client.poll_rate_limiter, settings, clock
        )
        self._worker_poll = WorkerPoll(
            client,
            settings,
            clock,
            events,
            self._attempts,
        )
        self._expiry_checker = LeaseExpiryChecker(
            self._attempts, previous_owners, settings.lease_ms
        )
        self._tasks = TaskGroup()
        self._senders = Senders(
            self._attempts,
            self._tasks,
            self._poll_planner.reschedule_after_sending,
        )
        self._sessions: dict[WorkerId, WorkerSession] = {}
        self._worker_ids: dict[AttemptKey, WorkerId] = {}

    def set_workers(
        self,
        assigned: Iterable[WorkerId],
        listed: Collection[WorkerId],
    ) -> None:
        """Applies the workers of this partition and the host list.

        A worker that was removed from the host list is permanently removed,
        with all of its attempts. A worker that was never listed here may be
        newer than this daemon's list and is kept until a list was read
        `host_list_lag_ms` after it was added.
        """
        for worker_id in assigned:
            if worker_id not in self._sessions:
                self._add_session(worker_id)
        for worker_id, session in list(self._sessions.items()):
            if worker_id in listed:
                session.is_listed = True
            elif session.is_listed or self._is_older_than_list(session):
                self._remove_session(self._sessions.pop(worker_id))

    def drop_workers_except(
        self,
        is_kept: Callable[[WorkerId], bool],
    ) -> tuple[WorkerId, ...] | None:
        """Stops polling the workers that move to another partition.

        Returns the dropped workers, or None without dropping any while one of
        them still has attempts, is being polled, or is reachable and has
        pending stops or forgets.
        """
        dropped = [
            session
            for session in self._sessions.values()
            if not is_kept(session.worker_id)
        ]
        if any(session.has_pending_work for session in dropped):
            return None
        for session in dropped:
            self._sessions.pop(session.worker_id)
            session.close()
        return tuple(session.worker_id for session in dropped)

    def add_known_worker(
        self, worker_id: WorkerId, incarnation: Incarnation
    ) -> None:
        """Adds a worker that a previous owner has used."""
        session = self._sessions.get(worker_id) or self._add_session(worker_id)
        session.incarnation = incarnation
        session.is_known = True

    def start_attempt(self, attempt_to_run: AttemptToRun) -> None:
        """Starts a journaled attempt and retries until its state is known."""
        if self._tasks.is_closed:
            return
        session = self._sessions.get(attempt_to_run.worker_id)
        if session is None:
            session = self._add_session(attempt_to_run.worker_id)
        attempt = LiveAttempt(attempt_to_run)
        session.attempts[attempt_to_run.key] = attempt
        self._worker_ids[attempt_to_run.key] = attempt_to_run.worker_id
        next_poll_ms = self._clock.monotonic_ms()
        next_poll_ms += self._settings.report_interval_ms
        self._poll_planner.schedule.move_earlier(session, next_poll_ms)
        # A previous owner may have started it: the first report shows whether
        # it did.
        if not attempt_to_run.is_inherited:
            self._senders.enqueue(session, attempt)

    def send_order(self, key: AttemptKey, kind: OrderKind) -> None:
        """Queues an order to stop, throttle or checkpoint an attempt."""
        session = self._find_session(key)
        if session is None or session.attempts[key].is_ended:
            return
        session.attempts[key].pending_orders[kind] = None
        self._senders.enqueue(session, session.attempts[key])

    def forget(self, key: AttemptKey) -> None:
        """Drops an attempt whose end is durable, here and on its worker."""
        session = self._find_session(key)
        if session is None:
            return
        self._worker_ids.pop(key)
        attempt = session.attempts.pop(key)
        attempt.is_ended = True
        if (
            attempt.to_run.incarnation == session.incarnation
            and attempt.may_run
        ):
            session.to_forget[key] = None

    async def run_forever(self) -> None:
        """Polls workers when they are due, until cancelled."""
        next_check_ms = 0
        max_sleep_ms = _MAX_SLEEP_MS
        while not self._tasks.is_closed:
            self.start_due_polls()
            now_ms = self._clock.monotonic_ms()
            if now_ms >= next_check_ms:
                has_unreachable = self.end_expired()
                max_sleep_ms = (
                    _EXPIRY_CHECK_INTERVAL_MS
                    if has_unreachable
                    else _MAX_SLEEP_MS
                )
                next_check_ms = now_ms + _EXPIRY_CHECK_INTERVAL_MS
            delay_ms = self._poll_planner.schedule.delay_ms(now_ms)
            if delay_ms is None:
                delay_ms = max_sleep_ms
            await self._poll_planner.schedule.sleep(
                min(max(delay_ms, _MIN_SLEEP_MS), max_sleep_ms),
            )

    def start_due_polls(self) -> None:
        """Starts the polls that are due."""
        now_ms = self._clock.monotonic_ms()
        for session in self._poll_planner.schedule.pop_due(now_ms):
            self._tasks.spawn(self._poll(session))

    def end_expired(self) -> bool:
        """Ends the attempts on unreachable workers whose leases expired.

        Returns whether there are unreachable workers.
        """
        now_ms = self._clock.monotonic_ms()
        unreachable = [
            session
            for session in self._sessions.values()
            if session.state is SessionState.unreachable
        ]
        for session in unreachable:
            self._expiry_checker.end_expired(session, now_ms)
        return bool(unreachable)

    async def stop(self) -> None:
        """Cancels all requests; nothing is sent after it returns."""
        await self._tasks.close()
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()

    def _add_session(self, worker_id: WorkerId) -> WorkerSession:
        now_ms = self._clock.monotonic_ms()
        session = WorkerSession(worker_id, now_ms)
        self._sessions[worker_id] = session
        self._poll_planner.schedule.add(session, now_ms)
        return session

    def _is_older_than_list(self, session: WorkerSession) -> bool:
        listed_at_ms = self._client.listed_at_ms
        if listed_at_ms is None:
            return False
        lag_ms = self._settings.host_list_lag_ms
        return session.added_at_ms + lag_ms <= listed_at_ms

    def _remove_session(self, session: WorkerSession) -> None:
        log_event('worker_gone', worker=session.worker_id)
        incarnations = {
            attempt.to_run.incarnation for attempt in session.attempts.values()
        }
        for attempt in list(session.attempts.values()):
            self._attempts.end(
                session,
                attempt,
                TaskState.queued,
                'worker was removed from the host list',
            )
        if session.incarnation is not None:
            incarnations.add(session.incarnation)
        session.close()
        for incarnation in incarnations:
            self._events.worker_lost(session.worker_id, incarnation)

    def _find_session(self, key: AttemptKey) -> WorkerSession | None:
        worker_id = self._worker_ids.get(key)
        if worker_id is None:
            return None
        session = self._sessions.get(worker_id)
        # A worker that was listed again has a new session without attempts.
        if session is None or key not in session.attempts:
            self._worker_ids.pop(key)
            return None
        return session

    async def _poll(self, session: WorkerSession) -> None:
        self._poll_planner.count_poll(session)
        was_connected = session.is_answering
        is_answered = False
        try:
            is_answered = await self._worker_poll.poll(session)
        finally:
            session.poll.is_running = False
            if not is_answered and not session.is_removed:
                self._poll_planner.schedule_retry(session)
        if not is_answered or session.is_removed:
            return
        session.poll.is_wanted = False
        for attempt in session.attempts.values():
            if attempt.needs_send:
                self._senders.enqueue(session, attempt)
        self._poll_planner.schedule_after_answer(
            session, was_connected=was_connected
        )


__all__ = ('Dispatcher',)
