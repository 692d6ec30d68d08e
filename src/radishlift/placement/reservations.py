"""Phase that reserves starts for gangs and for work that waited too long.

Other work may be backfilled before a reserved start. If it runs past the
start, it is stopped, so that backfill never delays the start.
"""

from typing import Final

from radishlift.core.ids import JobId, TaskId
from radishlift.placement.cancellations import stop_attempt
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.policies import AGED_RANK
from radishlift.placement.queue_groups import Group
from radishlift.placement.reservation_plan import ReservationPlan
from radishlift.placement.reservation_state import (
    Reservation,
    ReservationState,
)
from radishlift.placement.tables import NO_ROW

PLAN_RETRY_MS: Final = 1_000
"""Minimum time from the end of one plan to the start of the next."""
MAX_QUOTA_WAIT_MS: Final = 5_000
"""How long capacity stays reserved for a job that waits for quota; a partition
asks for a larger share of it at least this often."""


def request_reservation(
    context: EngineContext, group: Group, job_row: int
) -> None:
    """Requests a reserved start for a blocked gang or aged job.

    A partition has one reservation; the job of the lowest rank gets it.
    """
    if not group.key.is_gang and group.key.rank != AGED_RANK:
        return
    reservations = context.reservations
    rank = group.key.rank
    reservation = reservations.reservation
    if reservation is not None and reservation.rank <= rank:
        return
    if _may_replace_wanted(reservations) or rank < reservations.wanted_rank:
        _want(reservations, context.tables.jobs.spec[job_row].job_id, rank)


@PHASES.register('reservations')
def plan_reservation(context: EngineContext, budget: PhaseBudget) -> bool:
    """Checks the current reservation and plans the requested one."""
    _forget_quota_waits(context.reservations)
    _check_reservation(context, budget.now_ms)
    reservations = context.reservations
    if (
        reservations.wanted_job_id is None
        or budget.now_ms < reservations.next_plan_ms
    ):
        return True
    job_row = context.tables.jobs.row_of.get(reservations.wanted_job_id, NO_ROW)
    group = context.queue.find_group(job_row)
    is_startable = _may_use_capacity(context, job_row, budget.now_ms)
    if not is_startable or group is None:
        reservations.wanted_job_id = None
        reservations.plan = None
        return True
    if reservations.plan is None:
        reservations.plan = ReservationPlan(
            context,
            job_row,
            group.key,
            budget.now_ms,
        )
    if not reservations.plan.advance(budget):
        return False
    _set_reservation(context, reservations.plan.finish(), budget.now_ms)
    return True


def _set_reservation(
    context: EngineContext,
    reservation: Reservation | None,
    now_ms: int,
) -> None:
    reservations = context.reservations
    reservations.plan = None
    reservations.next_plan_ms = now_ms + PLAN_RETRY_MS
    job_id = reservations.wanted_job_id
    reservations.unplanned_job_id = job_id
    if reservation is not None:
        reservations.unplanned_job_id = None
        reservations.wanted_job_id = None
        reservations.reservation = reservation
        return
    former = reservations.reservation
    if former is not None and former.job_id == job_id:
        reservations.reservation = None
        context.queue.unblock_all()


def _may_replace_wanted(reservations: ReservationState) -> bool:
    return reservations.wanted_job_id in {None, reservations.unplanned_job_id}


def _want(reservations: ReservationState, job_id: JobId, rank: int) -> None:
    if reservations.wanted_job_id != job_id:
        reservations.plan = None
    reservations.wanted_job_id = job_id
    reservations.wanted_rank = rank


def _check_reservation(context: EngineContext, now_ms: int) -> None:
    reservation = context.reservations.reservation
    if reservation is None:
        return
    job_row = context.tables.jobs.row_of.get(reservation.job_id, NO_ROW)
    if not _may_use_capacity(context, job_row, now_ms):
        context.reservations.reservation = None
        context.queue.unblock_all()
        return
    is_schedulable = context.tables.workers.is_schedulable
    if (
        all(is_schedulable(row) for row in reservation.spare_capacity)
        and now_ms < reservation.start_ms
    ):
        return
    _stop_overrunning(context, reservation)
    if _may_replace_wanted(context.reservations):
        # The old reservation stays in force until the new plan is complete.
        _want(context.reservations, reservation.job_id, reservation.rank)


def _may_use_capacity(
    context: EngineContext, job_row: int, now_ms: int
) -> bool:
    """Returns whether a job waits, and not for quota for too long."""
    jobs = context.tables.jobs
    if job_row == NO_ROW or not jobs.ready_count(job_row):
        return False
    waits_ms = context.reservations.quota_waits_ms
    job_id = jobs.spec[job_row].job_id
    group = context.queue.find_group(job_row)
    if group is None or not group.blocked_by:
        return True
    if not context.queue.blocked.waits_for_quota(group):
        waits_ms.pop(job_id, None)
        return True
    return now_ms - waits_ms.setdefault(job_id, now_ms) <= MAX_QUOTA_WAIT_MS


def _forget_quota_waits(reservations: ReservationState) -> None:
    """Forgets the waits of jobs without a present or next reservation."""
    job_ids = {reservations.wanted_job_id}
    if reservations.reservation is not None:
        job_ids.add(reservations.reservation.job_id)
    for job_id in reservations.quota_waits_ms.keys() - job_ids:
        del reservations.quota_waits_ms[job_id]


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


__all__ = ('plan_reservation', 'request_reservation')
