"""Ends the attempts at a worker that does not answer, once that is safe."""

from collections.abc import Iterable

from radishlift.core.logs import log_event
from radishlift.placement.jobs import TaskState
from radishlift.workers.attempts import AttemptExchange
from radishlift.workers.leases import FormerOwners
from radishlift.workers.session import LiveAttempt, WorkerSession

_LAPSED = 'lease lapsed at an unreachable worker'
_NOT_SENT = 'worker was unreachable before the start was sent'


class LapseJudge:
    """Applies the bounds of `radishlift.workers.leases` to attempts."""

    def __init__(
        self,
        attempts: AttemptExchange,
        former: FormerOwners,
        lease_ms: int,
    ) -> None:
        self._attempts = attempts
        self._former = former
        self._lease_ms = lease_ms

    def end_lapsed(self, session: WorkerSession, now_ms: int) -> None:
        """Ends the attempts of an unreachable worker that surely ended."""
        is_own_lapsed = session.clock.bound_ms(self._lease_ms) <= now_ms
        is_former_lapsed = self._former.have_ended(now_ms)
        unsent = []
        lapsed = []
        for live in session.attempts.values():
            if not live.may_run:
                unsent.append(live)
            elif is_own_lapsed and (
                is_former_lapsed or not live.order.is_inherited
            ):
                lapsed.append(live)
        self._end(session, unsent, _NOT_SENT)
        self._end(session, lapsed, _LAPSED)

    def _end(
        self,
        session: WorkerSession,
        attempts: Iterable[LiveAttempt],
        reason: str,
    ) -> None:
        ended_count = 0
        for live in attempts:
            if not live.is_ended:
                ended_count += 1
                self._attempts.end(session, live, TaskState.queued, reason)
        if ended_count:
            log_event(
                'attempts_ended',
                worker=session.worker_id,
                attempts=ended_count,
                reason=reason,
            )


__all__ = ('LapseJudge',)
