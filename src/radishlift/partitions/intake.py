"""Requests of callers to one owned partition: submit, cancel, status."""

import asyncio

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId, TaskId
from radishlift.partitions.messages import (
    HandOffJob,
    JobCancelling,
    JobMoved,
    JobStatus,
    JobSubmitted,
    TaskExplained,
)
from radishlift.partitions.open_partition import OpenPartition
from radishlift.placement.jobs import JobSpec, TaskState, job_id_of
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.records import JobAccepted


async def submit(
    opened: OpenPartition,
    spec: JobSpec,
    timeout_ms: int,
) -> JobSubmitted | Failure:
    """Accepts a job and acknowledges it once it is journaled.

    A repeat returns the first acceptance, also during an outage of the table
    service. A new job is refused with `store_unavailable` before anything is
    buffered while the journal can't be written.
    """
    is_new = spec.job_id not in opened.states.placement.tables.jobs.row_of
    refusal = opened.log.journal.refusal()
    if is_new and refusal is not None:
        return refusal
    accepted = opened.engine.accept(spec, opened.now_ms())
    if isinstance(accepted, Failure):
        return accepted
    if is_new:
        failure = opened.log.append(accepted)
        if failure is not None:
            return failure
    return await _acknowledge(opened, accepted, timeout_ms)


async def accept_hand_off(
    opened: OpenPartition,
    message: HandOffJob,
) -> JobSubmitted | Failure:
    """Accepts a job of another partition; a repeat changes nothing."""
    accepted = JobAccepted(
        message.spec,
        message.accepted_at_ms,
        message.from_partition,
        message.transfer,
    )
    passed = message.transfer.passed_partitions if message.transfer else ()
    if opened.claim.partition_id in passed:
        # The closed entry of the job here would swallow it.
        reason = f'job {message.spec.job_id} was handed off from here before'
        return Failure(ErrorKind.conflict, reason)
    jobs = opened.states.placement.tables.jobs
    row = jobs.row_of.get(message.spec.job_id)
    if row is not None and jobs.spec[row] != message.spec:
        reason = f'job {message.spec.job_id} exists with another content'
        return Failure(ErrorKind.conflict, reason)
    if row is None:
        refusal = opened.log.journal.refusal()
        failure = refusal or opened.log.apply([accepted])
        if failure is not None:
            return failure
    return await _acknowledge(opened, accepted, message.timeout_ms)


async def _acknowledge(
    opened: OpenPartition,
    accepted: JobAccepted,
    timeout_ms: int,
) -> JobSubmitted | Failure:
    opened.wake()
    opened.request_flush([accepted])
    failure = await opened.log.journal.wait_durable(
        opened.log.last_position,
        timeout_ms,
    )
    if failure is not None:
        return failure
    return JobSubmitted(
        accepted.spec.job_id,
        opened.claim.partition_id,
        accepted.accepted_at_ms,
    )


async def cancel(
    opened: OpenPartition,
    job_id: JobId,
    timeout_ms: int,
) -> JobCancelling | JobMoved | Failure:
    """Cancels a job and acknowledges once that is journaled."""
    jobs = opened.states.placement.tables.jobs
    row = jobs.row_of.get(job_id)
    if row is None:
        reason = f'no job {job_id} in {opened.claim.partition_id}'
        return Failure(ErrorKind.not_found, reason)
    if jobs.to_partition[row]:
        return JobMoved(job_id, jobs.to_partition[row])
    if jobs.is_open(row) and not jobs.is_ended(row):
        refusal = opened.log.journal.refusal()
        failure = refusal or opened.engine.cancel(job_id)
        if failure is not None:
            return failure
        opened.wake()
        if not await _is_closed(opened, job_id, timeout_ms):
            reason = f'cancellation of {job_id} was not decided in time'
            return Failure(ErrorKind.store_outcome_unknown, reason)
        row = jobs.row_of.get(job_id)
        if row is not None and jobs.to_partition[row]:
            return JobMoved(job_id, jobs.to_partition[row])
    failure = await opened.log.journal.wait_durable(
        opened.log.last_position,
        timeout_ms,
    )
    return JobCancelling(job_id) if failure is None else failure


async def _is_closed(
    opened: OpenPartition,
    job_id: JobId,
    timeout_ms: int,
) -> bool:
    closed = opened.closed_event(job_id)
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            await closed.wait()
    except TimeoutError:
        return False
    return True


def status(
    opened: OpenPartition,
    job_id: JobId,
) -> JobStatus | JobMoved | Failure:
    """Counts the tasks of a job by state."""
    tables = opened.states.placement.tables
    row = tables.jobs.row_of.get(job_id)
    if row is None:
        reason = f'no job {job_id} in {opened.claim.partition_id}'
        return Failure(ErrorKind.not_found, reason)
    if tables.jobs.to_partition[row]:
        return JobMoved(job_id, tables.jobs.to_partition[row])
    return JobStatus(
        job_id,
        opened.claim.partition_id,
        tables.jobs.accepted_at_ms[row],
        tables.jobs.is_cancelled[row],
        _task_counts(tables, row),
        tables.jobs.failure_of(row),
    )


def _task_counts(
    tables: PartitionTables,
    job_row: int,
) -> dict[TaskState, int]:
    counts = dict(tables.jobs.ended_counts[job_row])
    for task_row in tables.jobs.task_rows[job_row].values():
        state = tables.tasks.state[task_row]
        if tables.tasks.is_live(task_row):
            counts[state] = counts.get(state, 0) + 1
    queued_count = tables.jobs.startable_count(job_row)
    if queued_count:
        counts[TaskState.queued] = queued_count
    return counts


def explain(
    opened: OpenPartition,
    task_id: TaskId,
) -> TaskExplained | JobMoved | Failure:
    """Tells where a task runs or why it does not."""
    job_id = job_id_of(task_id)
    jobs = opened.states.placement.tables.jobs
    row = jobs.row_of.get(job_id)
    if row is not None and jobs.to_partition[row]:
        return JobMoved(job_id, jobs.to_partition[row])
    explanation = opened.engine.explain(task_id, opened.now_ms())
    if isinstance(explanation, Failure):
        return explanation
    return TaskExplained(opened.claim.partition_id, explanation)


__all__ = ('accept_hand_off', 'cancel', 'explain', 'status', 'submit')
