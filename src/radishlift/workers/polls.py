"""One poll of a worker: its report, renewals and what it may forget."""

from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import Incarnation
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
from radishlift.workers.session import WorkerSession
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
        """Reads a worker's report, renews leases and settles what is due.

        Returns False when the worker did not answer.
        """
        is_current = await self._refresh(session)
        if not is_current:
            return False
        await self._renew(session)
        await self._forget(session)
        return True

    async def _refresh(self, session: WorkerSession) -> bool:
        if session.incarnation is None or not session.is_published:
            return await self._describe(session)
        report = await self._client.report(session.worker_id)
        if isinstance(report, Failure | Refusal):
            self._miss(session)
            return False
        if report.incarnation != session.incarnation:
            session.is_published = False
            return await self._describe(session)
        session.clock.observe(report.clock_ms, self._clock.monotonic_ms())
        session.answered()
        self._absorb(session, report)
        return True

    async def _describe(self, session: WorkerSession) -> bool:
        described = await self._client.describe(session.worker_id)
        if isinstance(described, Failure | Refusal):
            self._miss(session)
            return False
        if described.incarnation != session.incarnation:
            session.adopt(described.incarnation)
            self._end_former(session, described.incarnation)
        session.clock.observe(described.clock_ms, self._clock.monotonic_ms())
        session.capacity = described.as_info().capacity
        session.is_published = True
        session.answered()
        self._events.worker_seen(described.as_info())
        return await self._refresh(session)

    def _end_former(
        self,
        session: WorkerSession,
        current: Incarnation,
    ) -> None:
        former = {
            live.order.incarnation
            for live in session.attempts.values()
            if live.order.incarnation != current
        }
        for live in list(session.attempts.values()):
            if live.order.incarnation in former:
                self._attempts.end(
                    session, live, TaskState.queued, 'worker was restarted'
                )
        for incarnation in former:
            self._events.worker_lost(session.worker_id, incarnation)

    def _miss(self, session: WorkerSession) -> None:
        if session.has_ended:
            return
        if session.is_answering and session.incarnation is not None:
            self._events.worker_unreachable(
                session.worker_id,
                session.incarnation,
            )
        session.missed()
        session.is_published = False

    def _absorb(self, session: WorkerSession, report: WorkerReport) -> None:
        present = set()
        usage = []
        for task in report.tasks:
            key = task.key
            present.add(key)
            live = session.attempts.get(key)
            if live is None:
                self._absorb_unknown(session, task)
            elif task.state is not AttemptState.running:
                self._attempts.end_as(session, live, task.state)
            elif not live.is_ended:
                live.is_confirmed = True
                usage.append(_usage_of(task))
        for key, live in session.attempts.items():
            if key not in present:
                live.is_confirmed = False
        if usage:
            self._events.usage_reported(session.worker_id, usage)

    def _absorb_unknown(
        self,
        session: WorkerSession,
        task: AttemptReport,
    ) -> None:
        # An attempt of a task that this partition does not know may belong to
        # another partition. Without an owner its lease lapses by itself.
        if not self._events.is_surely_ended(task.key):
            return
        if task.state is AttemptState.running:
            session.to_stop[task.key] = None
        else:
            session.to_forget[task.key] = None

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
            for key, live in session.attempts.items()
            if live.may_run and not live.is_ended
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
            reply = await self._client.order(
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


def _usage_of(task: AttemptReport) -> UsageReport:
    return UsageReport(
        task.task_id,
        task.attempt,
        Resources(task.cpu_milli, task.memory_mb),
        task.run_ms,
        task.report_age_ms,
    )


__all__ = ('WorkerPoll',)
