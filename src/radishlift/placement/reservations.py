"""Reserved starts for gangs and for work that waited too long.

Work that is let pass a reservation and overruns it is stopped, so that
passing never delays the reserved start.
"""

from typing import Final

from radishlift.core.ids import TaskId
from radishlift.placement.booking import Reservation
from radishlift.placement.cancellations import stop_attempt
from radishlift.placement.policies import AGED_RANK
from radishlift.placement.queue_groups import Group
from radishlift.placement.reservation_plan import ReservationPlan
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.tables import NO_ROW
from radishlift.placement.working import Working

RETRY_PLAN_MS: Final = 1_000
"""How soon a start that could not be reserved is tried again."""


def note_blocked(working: Working, group: Group, job_row: int) -> None:
    """Asks for a reserved start for a blocked gang or aged job.

    There is one reservation in a partition; the lowest rank gets it.
    """
    if not group.key.is_gang and group.key.rank != AGED_RANK:
        return
    booking = working.booking
    rank = group.key.rank
    held = booking.reservation
    if held is not None and held.rank <= rank:
        return
    if booking.wanted is None or rank < booking.wanted_rank:
        booking.wanted = working.tables.jobs.spec[job_row].job_id
        booking.wanted_rank = rank
        booking.plan = None


@SYSTEMS.register('reservations')
def plan_reservation(working: Working, time: TickTime) -> bool:
    """Keeps the reservation up to date and plans the wanted one."""
    _check_held(working, time.now_ms)
    booking = working.booking
    if booking.wanted is None or time.now_ms < booking.plan_after_ms:
        return True
    job_row = working.tables.jobs.row_of.get(booking.wanted, NO_ROW)
    group = working.queue.group_of(job_row)
    if not _is_waiting(working, job_row) or group is None:
        booking.wanted = None
        booking.plan = None
        return True
    if booking.plan is None:
        booking.plan = ReservationPlan(
            working,
            job_row,
            group.key,
            time.now_ms,
        )
    if not booking.plan.advance(time):
        return False
    _set_reservation(working, booking.plan.finish(), time.now_ms)
    return True


def _set_reservation(
    working: Working,
    made: Reservation | None,
    now_ms: int,
) -> None:
    booking = working.booking
    booking.plan = None
    booking.plan_after_ms = now_ms + RETRY_PLAN_MS
    if made is not None:
        booking.wanted = None
        booking.reservation = made


def _check_held(working: Working, now_ms: int) -> None:
    held = working.booking.reservation
    if held is None:
        return
    job_row = working.tables.jobs.row_of.get(held.job_id, NO_ROW)
    if not _is_waiting(working, job_row):
        working.booking.reservation = None
        working.queue.wake_all()
        return
    can_take = working.tables.workers.can_take
    if all(can_take(row) for row in held.spare) and now_ms < held.start_ms:
        return
    _stop_overrunning(working, held)
    if working.booking.wanted is None:
        # The old reservation keeps its workers until the new plan is made.
        working.booking.wanted = held.job_id
        working.booking.wanted_rank = held.rank


def _is_waiting(working: Working, job_row: int) -> bool:
    if job_row == NO_ROW:
        return False
    return working.tables.jobs.ready_count(job_row) > 0


def _stop_overrunning(working: Working, held: Reservation) -> None:
    tasks = working.tables.tasks
    for task_id, attempt in held.passing:
        row = working.tables.task_row(TaskId(task_id))
        if row is None or row == NO_ROW or not tasks.is_live(row):
            continue
        if tasks.attempt[row] == attempt:
            reason = 'ran past a reserved start'
            stop_attempt(working, row, reason, is_requeued=True)
    held.passing.clear()


__all__ = ('note_blocked', 'plan_reservation')
