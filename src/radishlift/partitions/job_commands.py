"""Accepts and cancels jobs in one owned partition."""

import asyncio

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId
from radishlift.partitions.job_queries import describe_move
from radishlift.partitions.job_rollback import roll_back_job
from radishlift.partitions.messages import (
    HandOffJob,
    JobCancelling,
    JobMoved,
    JobSubmitted,
)
from radishlift.partitions.open_partition import OpenPartition
from radishlift.placement.jobs import JobSpec
from radishlift.placement.records import JobAccepted


async def submit(
    partition: OpenPartition,
    spec: JobSpec,
    timeout_ms: int,
) -> JobSubmitted | Failure:
    """Accepts a job and acknowledges it once it is journaled.

    A repeated submission returns the first acceptance, even during an outage
    of the table service. A new job is rejected with `store_unavailable` before
    anything is buffered while the journal can't be written, and also if it is
    rolled back because nothing of it was written in time.
    """
    is_new = spec.job_id not in partition.states.placement.tables.jobs.row_of
    refusal = partition.log.journal.refusal()
    if is_new and refusal is not None:
        return refusal
    accepted = partition.engine.accept(spec, partition.now_ms())
    if isinstance(accepted, Failure):
        return accepted
    if is_new:
        failure = partition.log.append(accepted)
        if failure is not None:
            return failure
    position = partition.log.last_position
    outcome = await _acknowledge(partition, accepted, timeout_ms)
    if not is_new or not isinstance(outcome, Failure):
        return outcome
    failure = await partition.log.resolve_timeout(
        outcome,
        position,
        lambda: roll_back_job(partition, accepted),
    )
    return failure or _submitted(partition, accepted)


async def accept_hand_off(
    partition: OpenPartition,
    message: HandOffJob,
) -> JobSubmitted | Failure:
    """Accepts a job of another partition; a repeated call changes nothing."""
    accepted = JobAccepted(
        message.spec,
        message.accepted_at_ms,
        message.from_partition,
        message.transfer,
    )
    passed = message.transfer.passed_partitions if message.transfer else ()
    if partition.claim.partition_id in passed:
        # The closed entry of the job here would hide the new acceptance.
        reason = f'job {message.spec.job_id} was handed off from here before'
        return Failure(ErrorKind.conflict, reason)
    jobs = partition.states.placement.tables.jobs
    row = jobs.row_of.get(message.spec.job_id)
    if row is not None and jobs.spec[row] != message.spec:
        reason = f'job {message.spec.job_id} exists with another content'
        return Failure(ErrorKind.conflict, reason)
    if row is None:
        refusal = partition.log.journal.refusal()
        failure = refusal or partition.log.apply([accepted])
        if failure is not None:
            return failure
    return await _acknowledge(partition, accepted, message.timeout_ms)


async def _acknowledge(
    partition: OpenPartition,
    accepted: JobAccepted,
    timeout_ms: int,
) -> JobSubmitted | Failure:
    partition.request_tick()
    partition.request_flush([accepted])
    failure = await partition.log.journal.wait_durable(
        partition.log.last_position,
        timeout_ms,
    )
    if failure is not None:
        return failure
    if (
        accepted.spec.job_id
        not in partition.states.placement.tables.jobs.row_of
    ):
        # The call that submitted the job rolled it back while this one waited.
        reason = f'job {accepted.spec.job_id} is no longer known'
        return Failure(ErrorKind.store_outcome_unknown, reason)
    return _submitted(partition, accepted)


def _submitted(partition: OpenPartition, accepted: JobAccepted) -> JobSubmitted:
    return JobSubmitted(
        accepted.spec.job_id,
        partition.claim.partition_id,
        accepted.accepted_at_ms,
    )


async def cancel(
    partition: OpenPartition,
    job_id: JobId,
    timeout_ms: int,
) -> JobCancelling | JobMoved | Failure:
    """Cancels a job and acknowledges once the cancellation is journaled."""
    jobs = partition.states.placement.tables.jobs
    row = jobs.row_of.get(job_id)
    if row is None:
        reason = f'no job {job_id} in {partition.claim.partition_id}'
        return Failure(ErrorKind.not_found, reason)
    if jobs.to_partition[row]:
        return describe_move(partition, row)
    if jobs.is_open(row) and not jobs.is_ended(row):
        refusal = partition.log.journal.refusal()
        failure = refusal or partition.engine.cancel(job_id)
        if failure is not None:
            return failure
        partition.request_tick()
        if not await _is_closed(partition, job_id, timeout_ms):
            reason = f'cancellation of {job_id} was not decided in time'
            return Failure(ErrorKind.store_outcome_unknown, reason)
        row = jobs.row_of.get(job_id)
        if row is not None and jobs.to_partition[row]:
            return describe_move(partition, row)
    failure = await partition.log.journal.wait_durable(
        partition.log.last_position,
        timeout_ms,
    )
    return JobCancelling(job_id) if failure is None else failure


async def _is_closed(
    partition: OpenPartition,
    job_id: JobId,
    timeout_ms: int,
) -> bool:
    close_event = partition.job_close_events.event_of(job_id)
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            await close_event.wait()
    except TimeoutError:
        return False
    return True


__all__ = ('accept_hand_off', 'cancel', 'submit')
