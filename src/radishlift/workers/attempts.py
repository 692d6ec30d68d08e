"""Sends the start, the stop and other orders of one attempt.

Every request is idempotent, so a failed one is repeated after the next poll.
At most one request per attempt is in progress at a time.
"""

from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.placement.jobs import TaskState
from radishlift.placement.orders import OrderKind
from radishlift.services.host_knowledge import SendVerdict
from radishlift.workers.client import WorkerClient
from radishlift.workers.events import WorkerEvents
from radishlift.workers.leases import WorkerClock
from radishlift.workers.messages import (
    AttemptState,
    Refusal,
    RefusalReason,
    StartMessage,
    StateReply,
)
from radishlift.workers.session import (
    EndedAttempt,
    LiveAttempt,
    WorkerSession,
)
from radishlift.workers.settings import WorkerSettings

# Task state that is reported for each final attempt state. A stopped attempt
# does not determine the outcome of its task: placement knows whether the task
# was cancelled or is queued again.
_TASK_STATES: Final = {
    AttemptState.finished: TaskState.finished,
    AttemptState.failed: TaskState.failed,
    AttemptState.stopped: TaskState.cancelled,
}


class AttemptExchange:
    """Sends the pending requests of attempts and reports their ends."""

    def __init__(
        self,
        client: WorkerClient,
        settings: WorkerSettings,
        clock: Clock,
        events: WorkerEvents,
    ) -> None:
        self._client = client
        self._settings = settings
        self._clock = clock
        self._events = events

    async def send_pending(
        self, session: WorkerSession, attempt: LiveAttempt
    ) -> None:
        """Sends a pending stop, or else the start and then other orders."""
        if attempt.is_ended or session.is_removed:
            return
        if OrderKind.stop in attempt.pending_orders:
            await self._stop(session, attempt)
            return
        if not attempt.is_confirmed:
            await self._start(session, attempt)
        for kind in list(attempt.pending_orders):
            if attempt.is_confirmed and not attempt.is_ended:
                await self._send_order(session, attempt, kind)

    def end(
        self,
        session: WorkerSession,
        attempt: LiveAttempt,
        state: TaskState,
        reason: str,
    ) -> None:
        """Reports, once per attempt, that it no longer runs."""
        if attempt.is_ended:
            return
        attempt.is_ended = True
        attempt.pending_orders.clear()
        self._events.attempt_ended(
            EndedAttempt(attempt.to_run.key, state, reason)
        )

    def end_as_reported(
        self,
        session: WorkerSession,
        attempt: LiveAttempt,
        state: AttemptState,
    ) -> None:
        """Reports the end of an attempt if its worker's state is final."""
        task_state = _TASK_STATES.get(state)
        if task_state is not None:
            self.end(
                session, attempt, task_state, f'worker reported {state.value}'
            )

    async def _send_order(
        self,
        session: WorkerSession,
        attempt: LiveAttempt,
        kind: OrderKind,
    ) -> None:
        clock = session.clock
        reply = await self._client.send_order(
            session.worker_id,
            kind,
            attempt.to_run.key,
        )
        self._observe_clock(clock, reply)
        if self._apply_reply(session, attempt, reply):
            attempt.pending_orders.pop(kind, None)

    async def _stop(self, session: WorkerSession, attempt: LiveAttempt) -> None:
        if not attempt.may_run:
            self.end(session, attempt, TaskState.queued, 'stopped before start')
            return
        clock = session.clock
        reply = await self._client.send_order(
            session.worker_id,
            OrderKind.stop,
            attempt.to_run.key,
        )
        self._observe_clock(clock, reply)
        self._apply_reply(session, attempt, reply)

    async def _start(
        self, session: WorkerSession, attempt: LiveAttempt
    ) -> None:
        if session.incarnation is None:
            return
        if attempt.to_run.incarnation != session.incarnation:
            self.end(session, attempt, TaskState.queued, 'worker was restarted')
            return
        until_ms = session.clock.lease_until_ms(self._settings.lease_ms)
        if until_ms is None:
            return
        verdict = self._client.check_new_work(session.worker_id)
        if verdict is SendVerdict.leaving:
            await self._cancel_start(session, attempt)
        if verdict is not SendVerdict.allowed:
            # With an outdated host list the start is retried after later
            # polls.
            return
        message = StartMessage(
            attempt.to_run.incarnation,
            until_ms,
            attempt.to_run.task,
        )
        was_sent = attempt.is_sent
        attempt.is_sent = True
        attempt.is_absent = False
        clock = session.clock
        reply = await self._client.start(session.worker_id, message)
        attempt.answered_at_ms = self._clock.monotonic_ms()
        self._observe_clock(clock, reply)
        if _was_not_sent(reply) and not was_sent:
            attempt.is_sent = False
        self._apply_reply(session, attempt, reply)

    async def _cancel_start(
        self,
        session: WorkerSession,
        attempt: LiveAttempt,
    ) -> None:
        """Cancels a journaled start for a worker that is leaving.

        If the start may have been sent, a stop is sent only after a report
        that does not list the attempt. The worker records the stop, so it
        also refuses a start that is still in transit. An attempt that
        had already started keeps running.
        """
        if attempt.may_run and not attempt.is_absent:
            return
        log_event(
            'start_withdrawn',
            worker=session.worker_id,
            task=attempt.to_run.key.task_id,
        )
        if attempt.may_run:
            await self._stop(session, attempt)
            return
        self.end(session, attempt, TaskState.queued, 'worker is leaving')

    def _observe_clock(
        self,
        clock: WorkerClock,
        reply: StateReply | Refusal | Failure,
    ) -> None:
        """Stores the clock of a reply.

        `clock` is that of the session when the request was sent. The session
        has another one if a new incarnation of the worker answered meanwhile.
        """
        if isinstance(reply, StateReply):
            clock.observe(reply.clock_ms, self._clock.monotonic_ms())

    def _apply_reply(
        self,
        session: WorkerSession,
        attempt: LiveAttempt,
        reply: StateReply | Refusal | Failure,
    ) -> bool:
        if isinstance(reply, Failure):
            session.poll.is_wanted = True
            return False
        if isinstance(reply, Refusal):
            self._apply_refusal(session, attempt, reply)
            return False
        if reply.state is AttemptState.running:
            attempt.is_confirmed = True
            if attempt.started_ms is None and not attempt.to_run.is_inherited:
                attempt.started_ms = self._clock.monotonic_ms()
        else:
            self.end_as_reported(session, attempt, reply.state)
        return True

    def _apply_refusal(
        self,
        session: WorkerSession,
        attempt: LiveAttempt,
        refusal: Refusal,
    ) -> None:
        if refusal.reason is RefusalReason.stopped:
            self.end_as_reported(session, attempt, AttemptState.stopped)
            return
        # The poll reads the new incarnation, or a clock that is recent enough
        # to compute a lease that has not expired.
        session.poll.is_wanted = True


def _was_not_sent(reply: StateReply | Refusal | Failure) -> bool:
    if not isinstance(reply, Failure):
        return False
    return reply.kind is ErrorKind.peer_unavailable


__all__ = ('AttemptExchange',)
