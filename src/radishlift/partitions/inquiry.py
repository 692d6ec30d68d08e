"""Questions of callers to one owned partition: status and explanation."""

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId, PartitionId, TaskId
from radishlift.partitions.messages import (
    JobMoved,
    JobSpread,
    JobStatus,
    OpenShare,
    TaskExplained,
)
from radishlift.partitions.open_partition import OpenPartition
from radishlift.placement.explanations import Explanation, ExplanationKind
from radishlift.placement.jobs import TaskState, job_id_of
from radishlift.placement.partition_tables import PartitionTables, task_index


def status(
    opened: OpenPartition,
    job_id: JobId,
) -> JobStatus | JobMoved | JobSpread | Failure:
    """Counts the tasks of a job by state.

    For a gang over partitions the home names the shares that others run.
    """
    tables = opened.states.placement.tables
    row = tables.jobs.row_of.get(job_id)
    partition_id = opened.claim.partition_id
    if row is None:
        reason = f'no job {job_id} in {partition_id}'
        return Failure(ErrorKind.not_found, reason)
    if tables.jobs.to_partition[row]:
        return describe_move(opened, row)
    counts = _task_counts(tables, row)
    shares = _open_shares(tables, job_id)
    own_count = shares.pop(partition_id, 0)
    if own_count and job_id not in tables.gangs.parts:
        queued_count = counts.get(TaskState.queued, 0)
        counts[TaskState.queued] = queued_count + own_count
    shown = JobStatus(
        job_id,
        partition_id,
        tables.jobs.accepted_at_ms[row],
        tables.jobs.is_cancelled[row],
        counts,
        tables.jobs.first_failure(row),
    )
    if not shares:
        return shown
    return JobSpread(
        shown,
        tuple(OpenShare(one, count) for one, count in shares.items()),
    )


def describe_move(opened: OpenPartition, row: int) -> JobMoved:
    """Names the partition that has the job, or is about to get it."""
    jobs = opened.states.placement.tables.jobs
    spec = jobs.spec[row]
    begun = opened.states.hand_offs.open.get(spec.job_id)
    if begun is None:
        return JobMoved(spec.job_id, jobs.to_partition[row])
    counts = dict(begun.transfer.ended_counts) if begun.transfer else {}
    queued_count = spec.task_count - sum(counts.values())
    last_known = JobStatus(
        spec.job_id,
        opened.claim.partition_id,
        jobs.accepted_at_ms[row],
        is_cancelled=False,
        task_counts={**counts, TaskState.queued: queued_count},
    )
    return JobMoved(spec.job_id, jobs.to_partition[row], last_known)


def _open_shares(
    tables: PartitionTables,
    job_id: JobId,
) -> dict[PartitionId, int]:
    spread = tables.gangs.multi_partition.get(job_id)
    if spread is None:
        return {}
    return {
        share.partition_id: len(share.tasks) for share in spread.open_shares()
    }


def _task_counts(
    tables: PartitionTables,
    job_row: int,
) -> dict[TaskState, int]:
    counts = dict(tables.jobs.ended_counts[job_row])
    for task_row in tables.jobs.task_rows[job_row].values():
        state = tables.tasks.state[task_row]
        if tables.tasks.is_live(task_row):
            counts[state] = counts.get(state, 0) + 1
    queued_count = tables.jobs.waiting_count(job_row)
    if queued_count:
        counts[TaskState.queued] = queued_count
    return counts


def explain(
    opened: OpenPartition,
    task_id: TaskId,
) -> TaskExplained | JobMoved | Failure:
    """Tells where a task runs or why it does not."""
    job_id = job_id_of(task_id)
    tables = opened.states.placement.tables
    row = tables.jobs.row_of.get(job_id)
    if row is not None and tables.jobs.to_partition[row]:
        return describe_move(opened, row)
    partition_id = opened.claim.partition_id
    part = _partition_of(tables, task_id)
    if part not in {'', partition_id}:
        return JobMoved(job_id, part)
    if job_id in tables.holds:
        held = Explanation(
            task_id,
            ExplanationKind.waits_for_gang,
            TaskState.queued,
            'room is held while the parts of the gang are reserved',
        )
        return TaskExplained(partition_id, held)
    explanation = opened.engine.explain(task_id, opened.now_ms())
    if isinstance(explanation, Failure):
        return explanation
    return TaskExplained(partition_id, explanation)


def _partition_of(tables: PartitionTables, task_id: TaskId) -> PartitionId:
    """Returns the partition whose open part has a task, or an empty id."""
    spread = tables.gangs.multi_partition.get(job_id_of(task_id))
    if spread is not None:
        index = task_index(task_id)
        for share in spread.open_shares():
            if any(task.index == index for task in share.tasks):
                return share.partition_id
    return PartitionId('')


__all__ = ('describe_move', 'explain', 'status')
