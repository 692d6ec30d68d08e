"""Changes that records of multi-partition gangs make in the home."""

from collections.abc import Iterable

from radishlift.core.ids import Attempt
from radishlift.placement.changes import change
from radishlift.placement.gang_changes import can_start_in_parts, close_round
from radishlift.placement.gang_records import (
    GangDecided,
    GangPartEnded,
    GangShare,
    MultiPartitionGang,
)
from radishlift.placement.jobs import TaskState
from radishlift.placement.partition_tables import (
    PartitionTables,
    RecordRefusedError,
)
from radishlift.placement.tables import NO_ROW
from radishlift.placement.transfer_rows import add_queued_task, started_tasks
from radishlift.placement.transfers import QueuedTask


def waiting_tasks(
    tables: PartitionTables,
    job_row: int,
) -> tuple[QueuedTask, ...]:
    """Lists the queued tasks of a job without live attempts, by index."""
    jobs = tables.jobs
    unstarted = range(
        jobs.first_unstarted_index[job_row], jobs.spec[job_row].task_count
    )
    return (
        *started_tasks(tables, job_row),
        *(QueuedTask(index, Attempt(0)) for index in unstarted),
    )


def can_decide(tables: PartitionTables, decided: GangDecided) -> bool:
    """Returns whether the shares have exactly the queued tasks of the job."""
    job_row = tables.jobs.row_of.get(decided.job_id, NO_ROW)
    if job_row == NO_ROW or not can_start_in_parts(tables, job_row):
        return False
    return _all_tasks(decided.shares) == list(waiting_tasks(tables, job_row))


def _all_tasks(shares: Iterable[GangShare]) -> list[QueuedTask]:
    tasks = [task for share in shares for task in share.tasks]
    return sorted(tasks, key=lambda task: task.index)


@change(GangDecided)
def decide_gang(tables: PartitionTables, record: GangDecided) -> None:
    """Removes the members from the queue; the parts start them."""
    known = tables.gangs.multi_partition.get(record.job_id)
    if known is not None and known.decision == record:
        return
    if not can_decide(tables, record):
        raise RecordRefusedError(
            'the gang has changed since its capacity was held'
        )
    jobs = tables.jobs
    job_row = jobs.row_of[record.job_id]
    tables.adjust_queued(job_row, -jobs.startable_count(job_row))
    for task_row in jobs.queued_rows(job_row):
        tables.remove_task(task_row)
    jobs.first_unstarted_index[job_row] = jobs.spec[job_row].task_count
    jobs.is_multi_partition[job_row] = True
    tables.gangs.multi_partition[record.job_id] = MultiPartitionGang(
        record, set()
    )


@change(GangPartEnded)
def end_part(tables: PartitionTables, record: GangPartEnded) -> None:
    """Applies the results of the members of an ended part."""
    gang = tables.gangs.multi_partition.get(record.job_id)
    if gang is None or gang.decision.round_id != record.round_id:
        return
    shares = {share.partition_id: share for share in gang.open_shares()}
    share = shares.get(record.partition_id)
    if share is None:
        return
    job_row = tables.jobs.row_of[record.job_id]
    _check_end(tables, record, share, job_row)
    part = tables.gangs.parts.get(record.job_id)
    if part is not None and part.home == record.partition_id:
        del tables.gangs.parts[record.job_id]
        tables.jobs.is_part[job_row] = False
    _merge_part(tables, job_row, record)
    gang.ended_partitions.add(record.partition_id)
    if part is not None:
        close_round(tables, record.round_id)
    if len(shares) == 1:
        _requeue_gang(tables, job_row, record)


def _check_end(
    tables: PartitionTables,
    record: GangPartEnded,
    share: GangShare,
    job_row: int,
) -> None:
    known = {task.index for task in share.tasks}
    known.difference_update(tables.jobs.task_rows[job_row])
    indexes = [task.index for task in record.queued_tasks]
    if len(set(indexes)) != len(indexes) or not known.issuperset(indexes):
        raise RecordRefusedError('a queued task is not of the part')
    part = tables.gangs.parts.get(record.job_id)
    if part is None or part.home != record.partition_id:
        return
    if tables.jobs.has_live_attempts(job_row):
        raise RecordRefusedError('a member of the part may still run')


def _merge_part(
    tables: PartitionTables,
    job_row: int,
    record: GangPartEnded,
) -> None:
    counts = tables.jobs.ended_counts[job_row]
    for state, count in record.ended_counts.items():
        counts[state] = counts.get(state, 0) + count
    if tables.jobs.is_open(job_row):
        for queued in record.queued_tasks:
            add_queued_task(tables, job_row, queued)
    elif record.queued_tasks:
        cancelled_count = counts.get(TaskState.cancelled, 0)
        cancelled_count += len(record.queued_tasks)
        counts[TaskState.cancelled] = cancelled_count


def _requeue_gang(
    tables: PartitionTables,
    job_row: int,
    record: GangPartEnded,
) -> None:
    """Returns a gang to the queue of its home after all parts have ended.

    As within a partition, a member that failed for good ends the job, and a
    member that is queued again makes all unfinished members start again.
    """
    jobs = tables.jobs
    del tables.gangs.multi_partition[record.job_id]
    jobs.is_multi_partition[job_row] = False
    counts = jobs.ended_counts[job_row]
    requeued = jobs.queued_rows(job_row)
    if requeued and counts.get(TaskState.failed):
        cancelled_count = counts.get(TaskState.cancelled, 0) + len(requeued)
        counts[TaskState.cancelled] = cancelled_count
        jobs.is_cancelled[job_row] = True
        for task_row in requeued:
            tables.remove_task(task_row)
    tables.adjust_queued(job_row, jobs.startable_count(job_row))
    tables.enqueue(job_row)
    tables.end_job_if_done(job_row, record.ended_at_ms)


__all__ = ('can_decide', 'decide_gang', 'end_part', 'waiting_tasks')
