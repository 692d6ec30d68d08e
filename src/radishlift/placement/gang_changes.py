"""Changes that the records of gang parts make to the tables."""

from collections import Counter

from radishlift.core.ids import GangRoundId, WorkerId
from radishlift.placement.amounts import times
from radishlift.placement.changes import change
from radishlift.placement.gang_records import GangPart, GangPartForgotten
from radishlift.placement.holds import apply_hold, release_hold
from radishlift.placement.jobs import job_id_of
from radishlift.placement.partition_tables import (
    PartitionTables,
    RecordRefusedError,
    task_index,
)
from radishlift.placement.records import (
    GangCommitted,
    GangMember,
    GangReleased,
    GangReserved,
    TaskPlaced,
)
from radishlift.placement.tables import NO_ROW

CLOSED_ROUNDS_COUNT = 1_024
"""Ended rounds that are kept, so that a late message can't restart one."""


@change(GangReserved)
def reserve_gang(tables: PartitionTables, record: GangReserved) -> None:
    """Holds capacity for all members, or refuses the record."""
    job_id = record.spec.job_id
    job_row = tables.jobs.row_of.get(job_id, NO_ROW)
    if job_id in tables.holds or job_id in tables.gangs.parts:
        return
    if record.round_id in tables.gangs.closed_rounds:
        raise RecordRefusedError('the round was released')
    if job_row != NO_ROW and not can_start_in_parts(tables, job_row):
        raise RecordRefusedError('the gang has started')
    if not _are_members(record):
        raise RecordRefusedError('a member is not a task of the job')
    _check_capacity(tables, record)
    apply_hold(tables, record)


def _are_members(record: GangReserved) -> bool:
    spec = record.spec
    wanted = {member.task_id for member in record.members}
    known = {
        task_id
        for task_id in wanted
        if job_id_of(task_id) == spec.job_id
        and 0 <= task_index(task_id) < spec.task_count
    }
    return len(known) == len(record.members)


def _check_capacity(tables: PartitionTables, record: GangReserved) -> None:
    counts = Counter(member.worker_id for member in record.members)
    for worker_id, count in counts.items():
        row = tables.workers.row_of.get(worker_id, NO_ROW)
        if row == NO_ROW or not tables.workers.is_present[row]:
            raise RecordRefusedError('the worker is unknown or was removed')
        if not tables.workers.fits(row, times(record.reserved, count)):
            raise RecordRefusedError('the worker would be overcommitted')


def can_start_in_parts(tables: PartitionTables, job_row: int) -> bool:
    """Returns whether a job may start as parts in several partitions."""
    jobs = tables.jobs
    if jobs.is_part[job_row] or jobs.is_multi_partition[job_row]:
        return False
    is_waiting = jobs.waiting_count(job_row) > 0
    return is_waiting and not jobs.has_live_attempts(job_row)


@change(GangReleased)
def release_gang(tables: PartitionTables, record: GangReleased) -> None:
    """Releases the hold of a round and refuses the round from then on."""
    hold = tables.holds.get(record.job_id)
    if hold is not None and hold.round_id == record.round_id:
        release_hold(tables, hold)
        job_row = tables.jobs.row_of.get(record.job_id, NO_ROW)
        if job_row != NO_ROW:
            tables.end_job_if_done(job_row, record.released_at_ms)
    close_round(tables, record.round_id)


def close_round(tables: PartitionTables, round_id: GangRoundId) -> None:
    """Stores that a round has ended in this partition."""
    if not round_id:
        return
    tables.gangs.closed_rounds[round_id] = None
    if len(tables.gangs.closed_rounds) > CLOSED_ROUNDS_COUNT:
        tables.gangs.closed_rounds.pop(next(iter(tables.gangs.closed_rounds)))


@change(GangCommitted)
def commit_gang(tables: PartitionTables, record: GangCommitted) -> None:
    """Replaces a hold by the attempts of its members."""
    hold = tables.holds.get(record.job_id)
    if hold is None or hold.round_id != record.round_id:
        return
    if not is_committable(tables, hold):
        raise RecordRefusedError('a worker was lost or the gang has changed')
    release_hold(tables, hold)
    jobs = tables.jobs
    job_row = jobs.row_of.get(record.job_id, NO_ROW)
    if job_row == NO_ROW:
        job_row = jobs.add(hold.spec, record.placed_at_ms, (hold.home,))
        jobs.first_unstarted_index[job_row] = hold.spec.task_count
    jobs.is_part[job_row] = True
    tables.gangs.parts[record.job_id] = GangPart(hold.home, hold.round_id)
    for member in hold.members:
        _start_member(tables, job_row, hold, member, record.placed_at_ms)


def _start_member(
    tables: PartitionTables,
    job_row: int,
    hold: GangReserved,
    member: GangMember,
    placed_at_ms: int,
) -> None:
    index = task_index(member.task_id)
    row = tables.tasks.add(job_row, index, member.task_id)
    tables.jobs.task_rows[job_row][index] = row
    start = TaskPlaced(
        member.task_id,
        member.attempt,
        member.worker_id,
        member.incarnation,
        hold.reserved,
        placed_at_ms,
    )
    # Balances `commit_attempt`, which subtracts a queued task. A member of a
    # gang part is not counted as queued.
    tables.adjust_queued(job_row, 1)
    tables.commit_attempt(row, tables.workers.row_of[member.worker_id], start)
    _restore_failures(tables, row, member.failed_on)


def _restore_failures(
    tables: PartitionTables,
    row: int,
    worker_ids: tuple[WorkerId, ...],
) -> None:
    tables.tasks.failed_on[row] = worker_ids
    for worker_id in worker_ids:
        worker_row = tables.workers.row_of.get(worker_id)
        if worker_row is not None:
            tables.workers.failed_task_rows[worker_row][row] = None


def is_committable(tables: PartitionTables, hold: GangReserved) -> bool:
    """Returns whether a hold can be replaced by attempts.

    All workers must be present with the same incarnation and without
    overcommitted capacity. In the home, the round must have been decided.
    """
    workers = tables.workers
    for member in hold.members:
        row = workers.row_of.get(member.worker_id, NO_ROW)
        if row == NO_ROW or not workers.is_present[row]:
            return False
        if workers.worker_info[row].incarnation != member.incarnation:
            return False
        if min(workers.free_cpu[row], workers.free_memory[row]) < 0:
            return False
    return _is_startable(tables, hold)


def _is_startable(tables: PartitionTables, hold: GangReserved) -> bool:
    job_id = hold.spec.job_id
    job_row = tables.jobs.row_of.get(job_id, NO_ROW)
    if job_row == NO_ROW:
        return True
    gang = tables.gangs.multi_partition.get(job_id)
    if gang is None or gang.decision.round_id != hold.round_id:
        return False
    started = tables.jobs.task_rows[job_row]
    return all(
        task_index(member.task_id) not in started for member in hold.members
    )


@change(GangPartForgotten)
def forget_part(tables: PartitionTables, record: GangPartForgotten) -> None:
    """Removes an ended part whose home is another partition."""
    part = tables.gangs.parts.get(record.job_id)
    is_home = record.job_id in tables.gangs.multi_partition
    if part is None or part.round_id != record.round_id or is_home:
        return
    job_row = tables.jobs.row_of[record.job_id]
    if tables.jobs.has_live_attempts(job_row):
        raise RecordRefusedError('a member of the part may still run')
    for task_row in tables.jobs.queued_rows(job_row):
        tables.remove_task(task_row)
    del tables.gangs.parts[record.job_id]
    tables.jobs.remove(job_row)
    close_round(tables, record.round_id)


__all__ = (
    'close_round',
    'commit_gang',
    'is_committable',
    'can_start_in_parts',
    'release_gang',
)
