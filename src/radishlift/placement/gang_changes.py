"""How the records about gangs that span partitions change the tables."""

from collections import Counter

from radishlift.placement.amounts import times
from radishlift.placement.changes import change
from radishlift.placement.holds import end_hold, take_hold
from radishlift.placement.jobs import job_id_of
from radishlift.placement.partition_tables import (
    PartitionTables,
    RecordRefusedError,
    task_index,
)
from radishlift.placement.records import (
    GangCommitted,
    GangReleased,
    GangReserved,
    TaskPlaced,
)
from radishlift.placement.tables import NO_ROW


@change(GangReserved)
def reserve_gang(tables: PartitionTables, record: GangReserved) -> None:
    """Holds capacity for all members, or refuses the record."""
    job_id = record.spec.job_id
    job_row = tables.jobs.row_of.get(job_id, NO_ROW)
    is_part = job_row != NO_ROW and tables.jobs.is_part[job_row]
    if job_id in tables.holds or is_part:
        return
    if job_row != NO_ROW and not is_unstarted(tables, job_row):
        raise RecordRefusedError('the gang has started')
    if not _are_members(record):
        raise RecordRefusedError('a member is not a task of the job')
    _check_room(tables, record)
    take_hold(tables, record)


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


def _check_room(tables: PartitionTables, record: GangReserved) -> None:
    counts = Counter(member.worker_id for member in record.members)
    for worker_id, count in counts.items():
        row = tables.workers.row_of.get(worker_id, NO_ROW)
        if row == NO_ROW or not tables.workers.is_present[row]:
            raise RecordRefusedError('the worker is unknown or gone')
        if not tables.workers.fits(row, times(record.reserved, count)):
            raise RecordRefusedError('the worker would be overcommitted')


def is_unstarted(tables: PartitionTables, job_row: int) -> bool:
    """Tells whether no task of a job was started or cancelled."""
    is_fresh = tables.jobs.fresh_index[job_row] == 0
    return is_fresh and tables.jobs.is_open(job_row)


@change(GangReleased)
def release_gang(tables: PartitionTables, record: GangReleased) -> None:
    """Gives up a hold."""
    hold = tables.holds.get(record.job_id)
    if hold is not None:
        end_hold(tables, hold)


@change(GangCommitted)
def commit_gang(tables: PartitionTables, record: GangCommitted) -> None:
    """Turns a hold into attempts."""
    hold = tables.holds.get(record.job_id)
    if hold is None:
        return
    if not is_committable(tables, hold):
        raise RecordRefusedError('a worker of the gang is gone')
    end_hold(tables, hold)
    job_row = tables.jobs.row_of.get(record.job_id, NO_ROW)
    if job_row == NO_ROW:
        job_row = tables.jobs.add(
            hold.spec,
            record.placed_at_ms,
            (hold.home,),
        )
    else:
        tables.count_queued(job_row, -hold.spec.task_count)
    tables.jobs.fresh_index[job_row] = hold.spec.task_count
    tables.jobs.is_part[job_row] = True
    for member in hold.members:
        index = task_index(member.task_id)
        row = tables.tasks.add(job_row, index, member.task_id)
        tables.jobs.task_rows[job_row][index] = row
        start = TaskPlaced(
            member.task_id,
            member.attempt,
            member.worker_id,
            member.incarnation,
            hold.reserved,
            record.placed_at_ms,
        )
        # Committing an attempt takes it from the queue, where it is not.
        tables.count_queued(job_row, 1)
        tables.commit_attempt(
            row,
            tables.workers.row_of[member.worker_id],
            start,
        )


def is_committable(tables: PartitionTables, hold: GangReserved) -> bool:
    """Tells whether all workers of a hold are as they were."""
    workers = tables.workers
    for member in hold.members:
        row = workers.row_of.get(member.worker_id, NO_ROW)
        if row == NO_ROW or not workers.is_present[row]:
            return False
        if workers.worker_info[row].incarnation != member.incarnation:
            return False
        if min(workers.free_cpu[row], workers.free_memory[row]) < 0:
            return False
    job_row = tables.jobs.row_of.get(hold.spec.job_id, NO_ROW)
    return job_row == NO_ROW or is_unstarted(tables, job_row)


__all__ = ('commit_gang', 'is_committable', 'is_unstarted')
