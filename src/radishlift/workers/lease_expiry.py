"""Ends the attempts on an unreachable worker once their leases expired."""

from collections.abc import Iterable

from radishlift.core.logs import log_event
from radishlift.placement.jobs import TaskState
from radishlift.workers.attempts import AttemptExchange
from radishlift.workers.leases import PreviousOwners
from radishlift.workers.session import LiveAttempt, WorkerSession

_LEASE_EXPIRED = 'lease expired on an unreachable worker'
_NOT_SENT = 'worker was unreachable before the start was sent'


class LeaseExpiryChecker:
    """Applies the expiry bounds of `radishlift.workers.leases`."""

    def __init__(
        self,
        attempts: AttemptExchange,
        previous_owners: PreviousOwners,
        lease_ms: int,
    ) -> None:
        self._attempts = attempts
        self._previous_owners = previous_owners
        self._lease_ms = lease_ms

    def end_expired(self, session: WorkerSession, now_ms: int) -> None:
        """Ends the unsent and expired attempts of an unreachable worker."""
        have_own_expired = (
            session.clock.expiry_bound_ms(self._lease_ms) <= now_ms
        )
        have_previous_expired = self._previous_owners.have_expired(now_ms)
        unsent = []
        expired = []
        for attempt in session.attempts.values():
            if not attempt.may_run:
                unsent.append(attempt)
            elif have_own_expired and (
                have_previous_expired or not attempt.to_run.is_inherited
            ):
                expired.append(attempt)
        self._end(session, unsent, _NOT_SENT)
        self._end(session, expired, _LEASE_EXPIRED)

    def _end(
        self,
        session: WorkerSession,
        attempts: Iterable[LiveAttempt],
        reason: str,
    ) -> None:
        ended_count = 0
        for attempt in attempts:
            if not attempt.is_ended:
                ended_count += 1
                self._attempts.end(session, attempt, TaskState.queued, reason)
        if ended_count:
            log_event(
                'attempts_ended',
                worker=session.worker_id,
                attempts=ended_count,
                reason=reason,
            )


__all__ = ('LeaseExpiryChecker',)
