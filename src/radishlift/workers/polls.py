"""Polls a worker: reads its report, renews leases and drops attempts."""

from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import Incarnation
from radishlift.core.logs import log_event
from radishlift.placement.jobs import Resources, TaskState, UsageReport
from radishlift.placement.orders import OrderKind
from radishlift.workers.attempts import AttemptExchange
from radishlift.workers.client import WorkerClient
from radishlift.workers.events import WorkerEvents
from radishlift.workers.messages import (
    AttemptReport,
    AttemptState,
    ForgetMessage,
    Refusal,
    RenewMessage,
    StateReply,
    WorkerReport,
)
from radishlift.workers.session import LiveAttempt, SessionState, WorkerSession
from radishlift.workers.settings import WorkerSettings

_RENEWALS_PER_LEASE: Final = 4


class WorkerPoll:
    """Polls the workers of one partition."""

    def __init__(
        self,
        client: WorkerClient,
        settings: WorkerSettings,
        clock: Clock,
        events: WorkerEvents,
        attempts: AttemptExchange,
    ) -> None:
        self._client = client
        self._settings = settings
        self._clock = clock
        self._events = events
        self._attempts = attempts

    async def poll(self, session: WorkerSession) -> bool:
        """Reads a worker's report, renews leases, sends stops and forgets.

        Returns False if the worker did not answer.
        """
        is_answered = await self._read_report(session)
        if not is_answered:
            return False
        await self._renew(session)
        await self._forget(session)
        return True

    async def _read_report(self, session: WorkerSession) -> bool:
        if session.info is None and not await self._describe(session):
            return False
        requested_at_ms = self._clock.monotonic_ms()
        report = await self._client.report(session.worker_id)
        if isinstance(report, Failure | Refusal):
            self._mark_unreachable(session)
            return False
        if report.incarnation != session.incarnation:
            session.info = None
            return await self._read_report(session)
        session.clock.observe(report.clock_ms, self._clock.monotonic_ms())
        session.answered()
        has_unknown_running = self._apply_report(
            session, report, requested_at_ms
        )
        if not session.is_published:
            self._publish(session, has_unknown_running=has_unknown_running)
        return True

    async def _describe(self, session: WorkerSession) -> bool:
        description = await self._client.describe(session.worker_id)
        if isinstance(description, Failure | Refusal):
            self._mark_unreachable(session)
            return False
        if description.incarnation != session.incarnation:
            session.switch_incarnation(description.incarnation)
            self._end_previous_incarnations(session, description.incarnation)
        session.clock.observe(description.clock_ms, self._clock.monotonic_ms())
        session.info = description.as_info()
        session.is_published = False
        return True

    def _publish(
        self, session: WorkerSession, *, has_unknown_running: bool
    ) -> None:
        # Capacity that another partition still uses must not be allocated.
        if has_unknown_running and not session.is_known:
            log_event(
                'worker_in_use_elsewhere',
                worker=session.worker_id,
            )
            return
        if session.info is not None:
            session.is_published = True
            session.is_known = True
            self._events.worker_seen(session.info)

    def _end_previous_incarnations(
        self,
        session: WorkerSession,
        current: Incarnation,
    ) -> None:
        previous = {
            attempt.to_run.incarnation
            for attempt in session.attempts.values()
            if attempt.to_run.incarnation != current
        }
        for attempt in list(session.attempts.values()):
            if attempt.to_run.incarnation in previous:
                self._attempts.end(
                    session, attempt, TaskState.queued, 'worker was restarted'
                )
        for incarnation in previous:
            self._events.worker_lost(session.worker_id, incarnation)

    def _mark_unreachable(self, session: WorkerSession) -> None:
        if session.is_removed:
            return
        is_first = session.state is not SessionState.unreachable
        if is_first and session.incarnation is not None:
            self._events.worker_unreachable(
                session.worker_id,
                session.incarnation,
            )
        session.missed()
        session.info = None

    def _apply_report(
        self,
        session: WorkerSession,
        report: WorkerReport,
        requested_at_ms: int,
    ) -> bool:
        """Applies a report; returns whether unknown attempts are running."""
        has_unknown_running = False
        reported_keys = set()
        now_ms = self._clock.monotonic_ms()
        usage = []
        for task in report.tasks:
            key = task.key
            reported_keys.add(key)
            attempt = session.attempts.get(key)
            if attempt is None:
                is_ended = self._handle_unknown_attempt(session, task)
                is_running = task.state is AttemptState.running
                has_unknown_running |= is_running and not is_ended
            elif task.state is not AttemptState.running:
                self._apply_end(session, attempt, task)
            elif not attempt.is_ended:
                attempt.is_confirmed = True
                attempt.set_started(task.run_ms, now_ms - _current_run_ms(task))
                usage.append(_usage_of(task))
        for key, attempt in session.attempts.items():
            if key not in reported_keys:
                attempt.mark_absent(requested_at_ms)
        if usage:
            self._events.usage_reported(session.worker_id, usage)
        return has_unknown_running

    def _apply_end(
        self,
        session: WorkerSession,
        attempt: LiveAttempt,
        task: AttemptReport,
    ) -> None:
        if task.state is AttemptState.finished and not attempt.is_ended:
            name = attempt.to_run.task.name
            self._client.poll_rate_limiter.run_times.observe(
                name, _current_run_ms(task)
            )
        self._attempts.end_as_reported(session, attempt, task.state)

    def _handle_unknown_attempt(
        self,
        session: WorkerSession,
        task: AttemptReport,
    ) -> bool:
        # An attempt of a task that this partition does not know may belong to
        # another partition. If no owner renews its lease, it expires.
        if not self._events.is_confirmed_ended(task.key):
            return False
        if task.state is AttemptState.running:
            session.to_stop[task.key] = None
        else:
            session.to_forget[task.key] = None
        return True

    async def _renew(self, session: WorkerSession) -> None:
        now_ms = self._clock.monotonic_ms()
        until_ms = session.clock.lease_until_ms(self._settings.lease_ms)
        incarnation = session.incarnation
        if incarnation is None or until_ms is None:
            return
        if now_ms < session.poll.next_renewal_ms:
            return
        attempts = tuple(
            (key.task_id, key.attempt)
            for key, attempt in session.attempts.items()
            if attempt.may_run and not attempt.is_ended
        )
        if not attempts:
            return
        reply = await self._client.renew(
            session.worker_id,
            RenewMessage(incarnation, until_ms, attempts),
        )
        if not isinstance(reply, Failure | Refusal):
            interval_ms = self._settings.lease_ms // _RENEWALS_PER_LEASE
            session.poll.next_renewal_ms = now_ms + interval_ms

    async def _forget(self, session: WorkerSession) -> None:
        for key in list(session.to_stop):
            reply = await self._client.send_order(
                session.worker_id,
                OrderKind.stop,
                key,
            )
            if isinstance(reply, StateReply):
                session.to_stop.pop(key, None)
        ended = tuple(session.to_forget)
        if not ended:
            return
        message = ForgetMessage(
            tuple((key.task_id, key.attempt) for key in ended),
        )
        outcome = await self._client.forget(session.worker_id, message)
        if not isinstance(outcome, Failure | Refusal):
            for key in ended:
                session.to_forget.pop(key, None)


def _current_run_ms(task: AttemptReport) -> int:
    # `run_ms` is the run time as of `report_age_ms` ago.
    return task.run_ms + task.report_age_ms


def _usage_of(task: AttemptReport) -> UsageReport:
    return UsageReport(
        task.task_id,
        task.attempt,
        Resources(task.cpu_milli, task.memory_mb),
        task.run_ms,
        task.report_age_ms,
    )


__all__ = ('WorkerPoll',)
