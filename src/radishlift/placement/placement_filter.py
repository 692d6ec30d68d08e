"""Filter of workers that are claimed or reserved for other work."""

from radishlift.placement.amounts import is_within, minus
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.jobs import JobSpec, Resources
from radishlift.placement.policies import URGENT_RANK, BackfillCandidate
from radishlift.placement.records import TaskPlaced
from radishlift.placement.reservation_state import Reservation
from radishlift.placement.rules import get_policy
from radishlift.placement.starts import estimated_end_ms


class PlacementFilter:
    """Rejects workers whose capacity urgent or reserved work waits for."""

    def __init__(
        self,
        context: EngineContext,
        spec: JobSpec,
        rank: int,
        demand: Resources,
        now_ms: int,
    ) -> None:
        self._working = context
        # Urgent work may also start on claimed workers.
        is_urgent = rank <= URGENT_RANK
        self._claims = {} if is_urgent else context.reservations.claims
        self._demand = demand
        self._end_ms = estimated_end_ms(spec, now_ms)
        self._department = spec.department
        self._reservation = _limiting_reservation(context, spec, rank)

    def __call__(self, worker_row: int) -> bool:
        """Returns whether the task may start on a worker."""
        if worker_row in self._claims:
            return False
        reservation = self._reservation
        if reservation is None:
            return True
        if worker_row not in reservation.spare_capacity:
            return True
        spare = reservation.spare_capacity[worker_row]
        case = BackfillCandidate(
            reservation.start_ms,
            self._end_ms,
            not is_within(self._demand, spare),
        )
        return get_policy(self._working, self._department).backfill(case)

    def count_start(self, worker_row: int, start: TaskPlaced) -> None:
        """Records a start that was backfilled before the reservation.

        A task that may run past the reserved start reduces the spare capacity.
        """
        reservation = self._reservation
        if reservation is None or worker_row not in reservation.spare_capacity:
            return
        if self._end_ms <= reservation.start_ms:
            reservation.backfilled_attempts.append(
                (start.task_id, start.attempt)
            )
            return
        left = minus(reservation.spare_capacity[worker_row], start.reserved)
        reservation.spare_capacity[worker_row] = left


def _limiting_reservation(
    context: EngineContext,
    spec: JobSpec,
    rank: int,
) -> Reservation | None:
    """Returns the reservation, or None if it does not limit the job.

    It does not limit its own job, nor jobs that precede it in rank.
    """
    reservation = context.reservations.reservation
    if reservation is None or reservation.job_id == spec.job_id:
        return None
    return None if rank < reservation.rank else reservation


__all__ = ('PlacementFilter',)
