"""Phase that reserves starts for gangs and for work that waited too long.

Other work may be backfilled before a reserved start. If it runs past the
start, it is stopped, so that backfill never delays the start.
"""

from typing import Final

from radishlift.core.ids import TaskId
from radishlift.placement.cancellations import stop_attempt
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.policies import AGED_RANK
from radishlift.placement.queue_groups import Group
from radishlift.placement.reservation_plan import ReservationPlan
from radishlift.placement.reservation_state import Reservation
from radishlift.placement.tables import NO_ROW

PLAN_RETRY_MS: Final = 1_000
"""Minimum time from the end of one plan to the start of the next."""


def request_reservation(
    context: EngineContext, group: Group, job_row: int
) -> None:
    """Requests a reserved start for a blocked gang or aged job.

    A partition has one reservation; the job of the lowest rank gets it.
    """
    if not group.key.is_gang and group.key.rank != AGED_RANK:
        return
    booking = context.reservations
    rank = group.key.rank
    reservation = booking.reservation
    if reservation is not None and reservation.rank <= rank:
        return
    if booking.wanted_job_id is None or rank < booking.wanted_rank:
        booking.wanted_job_id = context.tables.jobs.spec[job_row].job_id
        booking.wanted_rank = rank
        booking.plan = None


@PHASES.register('reservations')
def plan_reservation(context: EngineContext, budget: PhaseBudget) -> bool:
    """Checks the current reservation and plans the requested one."""
    _check_reservation(context, budget.now_ms)
    booking = context.reservations
    if booking.wanted_job_id is None or budget.now_ms < booking.next_plan_ms:
        return True
    job_row = context.tables.jobs.row_of.get(booking.wanted_job_id, NO_ROW)
    group = context.queue.find_group(job_row)
    if not _is_waiting(context, job_row) or group is None:
        booking.wanted_job_id = None
        booking.plan = None
        return True
    if booking.plan is None:
        booking.plan = ReservationPlan(
            context,
            job_row,
            group.key,
            budget.now_ms,
        )
    if not booking.plan.advance(budget):
        return False
    _set_reservation(context, booking.plan.finish(), budget.now_ms)
    return True


def _set_reservation(
    context: EngineContext,
    reservation: Reservation | None,
    now_ms: int,
) -> None:
    booking = context.reservations
    booking.plan = None
    booking.next_plan_ms = now_ms + PLAN_RETRY_MS
    if reservation is not None:
        booking.wanted_job_id = None
        booking.reservation = reservation


def _check_reservation(context: EngineContext, now_ms: int) -> None:
    reservation = context.reservations.reservation
    if reservation is None:
        return
    job_row = context.tables.jobs.row_of.get(reservation.job_id, NO_ROW)
    if not _is_waiting(context, job_row):
        context.reservations.reservation = None
        context.queue.unblock_all()
        return
    can_take = context.tables.workers.is_schedulable
    if (
        all(can_take(row) for row in reservation.spare_capacity)
        and now_ms < reservation.start_ms
    ):
        return
    _stop_overrunning(context, reservation)
    if context.reservations.wanted_job_id is None:
        # The old reservation stays in force until the new plan is complete.
        context.reservations.wanted_job_id = reservation.job_id
        context.reservations.wanted_rank = reservation.rank


def _is_waiting(context: EngineContext, job_row: int) -> bool:
    if job_row == NO_ROW:
        return False
    return context.tables.jobs.ready_count(job_row) > 0


def _stop_overrunning(context: EngineContext, reservation: Reservation) -> None:
    tasks = context.tables.tasks
    for task_id, attempt in reservation.backfilled_attempts:
        row = context.tables.task_row(TaskId(task_id))
        if row is None or row == NO_ROW or not tasks.is_live(row):
            continue
        if tasks.attempt[row] == attempt:
            reason = 'ran past a reserved start'
            stop_attempt(context, row, reason, is_requeued=True)
    reservation.backfilled_attempts.clear()


__all__ = ('request_reservation', 'plan_reservation')
