"""Exchanges about one attempt: its start, its stop and other orders.

Every exchange is idempotent, so that a failed one is repeated after the next
poll. The exchange of one attempt is never run twice at a time.
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

# A stopped or lost attempt does not decide the outcome of its task; placement
# knows whether it was cancelled or is queued again.
_TASK_STATES: Final = {
    AttemptState.finished: TaskState.finished,
    AttemptState.failed: TaskState.failed,
    AttemptState.stopped: TaskState.cancelled,
}


class AttemptExchange:
    """Sends what attempts need and reports how they ended."""

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

    async def attend(self, session: WorkerSession, live: LiveAttempt) -> None:
        """Sends what an attempt needs next: a stop, an order or its start."""
        if live.is_ended or session.has_ended:
            return
        if OrderKind.stop in live.pending_orders:
            await self._stop(session, live)
            return
        if not live.is_confirmed:
            await self._start(session, live)
        for kind in list(live.pending_orders):
            if live.is_confirmed and not live.is_ended:
                await self._order(session, live, kind)

    def end(
        self,
        session: WorkerSession,
        live: LiveAttempt,
        state: TaskState,
        reason: str,
    ) -> None:
        """Reports once that an attempt does not run any more."""
        if live.is_ended:
            return
        live.is_ended = True
        live.pending_orders.clear()
        self._events.attempt_ended(EndedAttempt(live.order.key, state, reason))

    def end_as(
        self,
        session: WorkerSession,
        live: LiveAttempt,
        state: AttemptState,
    ) -> None:
        """Reports the end that a worker tells."""
        task_state = _TASK_STATES.get(state)
        if task_state is not None:
            self.end(session, live, task_state, f'worker says {state.value}')

    async def _order(
        self,
        session: WorkerSession,
        live: LiveAttempt,
        kind: OrderKind,
    ) -> None:
        reply = await self._client.order(
            session.worker_id,
            kind,
            live.order.key,
        )
        if self._take_reply(session, live, reply):
            live.pending_orders.pop(kind, None)

    async def _stop(self, session: WorkerSession, live: LiveAttempt) -> None:
        if not live.may_run:
            self.end(session, live, TaskState.queued, 'stopped before start')
            return
        reply = await self._client.order(
            session.worker_id,
            OrderKind.stop,
            live.order.key,
        )
        self._take_reply(session, live, reply)

    async def _start(self, session: WorkerSession, live: LiveAttempt) -> None:
        if session.incarnation is None:
            return
        if live.order.incarnation != session.incarnation:
            self.end(session, live, TaskState.queued, 'worker was restarted')
            return
        until_ms = session.clock.lease_until_ms(self._settings.lease_ms)
        if until_ms is None:
            return
        verdict = self._client.check(session.worker_id)
        if verdict is SendVerdict.leaving:
            await self._withdraw(session, live)
        if verdict is not SendVerdict.allowed:
            # The start of an outdated list is repeated after later polls.
            return
        message = StartMessage(
            live.order.incarnation,
            until_ms,
            live.order.task,
        )
        was_sent = live.is_sent
        live.is_sent = True
        live.is_absent = False
        reply = await self._client.start(session.worker_id, message)
        live.answered_at_ms = self._clock.monotonic_ms()
        if _is_unsent(reply) and not was_sent:
            live.is_sent = False
        self._take_reply(session, live, reply)

    async def _withdraw(
        self,
        session: WorkerSession,
        live: LiveAttempt,
    ) -> None:
        """Takes back a journaled start for a worker that is leaving.

        A start that may have been sent is only stopped after a report without
        it: the stop leaves a tombstone, which also refuses a start that is
        still on its way, while an attempt that began in time goes on.
        """
        if live.may_run and not live.is_absent:
            return
        log_event(
            'start_withdrawn',
            worker=session.worker_id,
            task=live.order.key.task_id,
        )
        if live.may_run:
            await self._stop(session, live)
            return
        self.end(session, live, TaskState.queued, 'worker is leaving')

    def _take_reply(
        self,
        session: WorkerSession,
        live: LiveAttempt,
        reply: StateReply | Refusal | Failure,
    ) -> bool:
        if isinstance(reply, Failure):
            session.poll.is_wanted = True
            return False
        if isinstance(reply, Refusal):
            self._take_refusal(session, live, reply)
            return False
        session.clock.observe(reply.clock_ms, self._clock.monotonic_ms())
        if reply.state is AttemptState.running:
            live.is_confirmed = True
            if live.began_ms is None and not live.order.is_inherited:
                live.began_ms = self._clock.monotonic_ms()
        else:
            self.end_as(session, live, reply.state)
        return True

    def _take_refusal(
        self,
        session: WorkerSession,
        live: LiveAttempt,
        refusal: Refusal,
    ) -> None:
        if refusal.reason is RefusalReason.stopped:
            self.end_as(session, live, AttemptState.stopped)
            return
        # The poll finds the new incarnation, or a clock that is recent
        # enough for a lease.
        session.poll.is_wanted = True


def _is_unsent(reply: StateReply | Refusal | Failure) -> bool:
    if not isinstance(reply, Failure):
        return False
    return reply.kind is ErrorKind.peer_unavailable


__all__ = ('AttemptExchange',)
