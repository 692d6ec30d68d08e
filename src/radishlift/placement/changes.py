"""Changes that the records of jobs and tasks make to the tables."""

from collections.abc import Callable
from typing import Any, Final

from radishlift.core.ids import PartitionId
from radishlift.placement.jobs import TaskState, job_id_of
from radishlift.placement.partition_tables import (
    PartitionTables,
    RecordRefusedError,
    task_index,
)
from radishlift.placement.reasons import FAILED, FAILED_ON_SUSPECT
from radishlift.placement.records import (
    JobAccepted,
    JobCancelled,
    JobForgotten,
    JobHandedOff,
    TaskEnded,
    TaskPlaced,
    TaskStopping,
)
from radishlift.placement.tables import NO_ROW
from radishlift.placement.task_states import is_transition_allowed
from radishlift.placement.transfer_rows import restore_transfer

Change = Callable[[PartitionTables, Any], None]

CHANGES: Final[dict[type, Change]] = {}


def change(record_type: type) -> Callable[[Change], Change]:
    """Returns a decorator that registers the handler of a record type."""

    def decorate(function: Change) -> Change:
        if record_type in CHANGES:
            raise ValueError(f'{record_type.__name__} is registered twice')
        CHANGES[record_type] = function
        return function

    return decorate


@change(JobAccepted)
def accept_job(tables: PartitionTables, record: JobAccepted) -> None:
    """Adds a job; a repeat of the same job changes nothing."""
    spec = record.spec
    known = tables.jobs.row_of.get(spec.job_id)
    if known is not None:
        if tables.jobs.spec[known] != spec:
            raise RecordRefusedError('the job id is used by another job')
        return
    row = tables.jobs.add(
        spec,
        record.accepted_at_ms,
        _passed_partitions(record),
    )
    tables.jobs.is_held[row] = spec.job_id in tables.holds
    if record.transfer is not None:
        restore_transfer(tables, row, record.transfer)
    tables.enqueue(row)
    tables.adjust_queued(row, tables.jobs.startable_count(row))
    # The hold of a job may be recorded before its acceptance. The live tables
    # must then mark the job as held, as tables loaded from a snapshot do.
    tables.jobs.is_held[row] = spec.job_id in tables.holds


def _passed_partitions(record: JobAccepted) -> tuple[PartitionId, ...]:
    if not record.from_partition:
        return ()
    before = record.transfer.passed_partitions if record.transfer else ()
    return (*before, record.from_partition)


@change(JobHandedOff)
def hand_off_job(tables: PartitionTables, record: JobHandedOff) -> None:
    """Closes a job without live attempts and removes its queued tasks."""
    row = tables.jobs.row_of.get(record.job_id)
    if row is None or tables.jobs.to_partition[row]:
        return
    if tables.jobs.has_live_attempts(row) or tables.jobs.starts_in_parts(row):
        raise RecordRefusedError('a task of the job may still run here')
    tables.adjust_queued(row, -tables.jobs.startable_count(row))
    tables.jobs.to_partition[row] = record.to_partition
    for task_row in tables.jobs.queued_rows(row):
        tables.remove_task(task_row)
    tables.end_job_if_done(row, record.handed_off_at_ms)


@change(JobCancelled)
def cancel_job(tables: PartitionTables, record: JobCancelled) -> None:
    """Cancels the queued tasks; live attempts have records of their own."""
    row = tables.jobs.row_of.get(record.job_id)
    if row is None or not tables.jobs.is_open(row):
        return
    counts = tables.jobs.ended_counts[row]
    queued_count = tables.jobs.startable_count(row)
    waiting_count = tables.jobs.waiting_count(row)
    cancelled_count = counts.get(TaskState.cancelled, 0) + waiting_count
    if cancelled_count:
        counts[TaskState.cancelled] = cancelled_count
    tables.adjust_queued(row, -queued_count)
    tables.jobs.is_cancelled[row] = True
    for task_row in tables.jobs.queued_rows(row):
        tables.remove_task(task_row)
    tables.end_job_if_done(row, record.cancelled_at_ms)


@change(JobForgotten)
def forget_job(tables: PartitionTables, record: JobForgotten) -> None:
    """Removes an ended job."""
    row = tables.jobs.row_of.get(record.job_id)
    if row is None:
        return
    if not tables.jobs.is_ended(row):
        raise RecordRefusedError('the job has not ended')
    tables.ended_jobs.pop(row, None)
    tables.jobs.remove(row)


@change(TaskPlaced)
def place_task(tables: PartitionTables, record: TaskPlaced) -> None:
    """Commits capacity of a worker to a new attempt."""
    row = tables.task_row(record.task_id)
    if row == NO_ROW and not tables.has_task(record.task_id):
        raise RecordRefusedError('the task does not exist')
    worker_row = tables.workers.row_of.get(record.worker_id, NO_ROW)
    if row is None:
        job_row = tables.jobs.row_of[job_id_of(record.task_id)]
        _check_not_in_parts(tables, job_row)
        check_start(tables, record, worker_row, 0)
        row = tables.add_tasks_up_to(job_row, task_index(record.task_id))
        tables.commit_attempt(row, worker_row, record)
        return
    if row == NO_ROW or record.attempt < tables.tasks.attempt[row]:
        return
    if record.attempt == tables.tasks.attempt[row]:
        _check_same_start(tables, row, worker_row)
        return
    if not is_transition_allowed(tables.tasks.state[row], TaskState.placed):
        raise RecordRefusedError('an earlier attempt has not ended')
    _check_not_in_parts(tables, tables.tasks.job_row[row])
    check_start(tables, record, worker_row, tables.tasks.attempt[row])
    tables.commit_attempt(row, worker_row, record)


def _check_not_in_parts(tables: PartitionTables, job_row: int) -> None:
    if tables.jobs.starts_in_parts(job_row):
        raise RecordRefusedError(
            'the gang starts as parts in several partitions'
        )


def _check_same_start(
    tables: PartitionTables,
    row: int,
    worker_row: int,
) -> None:
    is_live = tables.tasks.is_live(row)
    if is_live and tables.tasks.worker_row[row] != worker_row:
        raise RecordRefusedError('the attempt is placed on another worker')


def check_start(
    tables: PartitionTables,
    record: TaskPlaced,
    worker_row: int,
    last_attempt: int,
) -> None:
    """Checks that an attempt may start on a worker, before any change."""
    if record.attempt != last_attempt + 1:
        raise RecordRefusedError(
            'the attempt number does not follow the last one'
        )
    if worker_row == NO_ROW or not tables.workers.is_present[worker_row]:
        raise RecordRefusedError('the worker is unknown or was removed')
    worker_info = tables.workers.worker_info[worker_row]
    if worker_info.incarnation != record.incarnation:
        raise RecordRefusedError('the worker has another incarnation')
    if not tables.workers.fits(worker_row, record.reserved):
        raise RecordRefusedError('the worker would be overcommitted')


@change(TaskStopping)
def stop_task(tables: PartitionTables, record: TaskStopping) -> None:
    """Marks an attempt as stopping; its capacity stays committed."""
    row = tables.task_row(record.task_id)
    if row is None or row == NO_ROW:
        return
    if record.attempt != tables.tasks.attempt[row]:
        return
    if tables.tasks.state[row] is TaskState.stopping:
        # A cancellation overrides a stop that would queue the task again.
        if not record.is_requeued:
            tables.tasks.is_requeued[row] = False
        return
    if not is_transition_allowed(tables.tasks.state[row], TaskState.stopping):
        return
    tables.adjust_preemptible(row, -1)
    tables.tasks.state[row] = TaskState.stopping
    tables.tasks.is_requeued[row] = record.is_requeued
    tables.changed_workers[tables.tasks.worker_row[row]] = None


@change(TaskEnded)
def end_task(tables: PartitionTables, record: TaskEnded) -> None:
    """Frees the capacity of an attempt and updates the state of its task."""
    row = tables.task_row(record.task_id)
    if row is None or row == NO_ROW:
        return
    if record.attempt < tables.tasks.attempt[row]:
        return
    if record.attempt > tables.tasks.attempt[row]:
        raise RecordRefusedError('the attempt was never placed')
    if not tables.tasks.is_live(row):
        return
    if not is_transition_allowed(tables.tasks.state[row], record.state):
        raise RecordRefusedError(f'a task cannot become {record.state.value}')
    job_row = tables.tasks.job_row[row]
    is_ended = record.state is not TaskState.queued
    if not is_ended and not tables.jobs.is_open(job_row):
        raise RecordRefusedError('a task of a closed job cannot be queued')
    tables.release_attempt(row, counts_failure=record.reason == FAILED)
    if record.reason == FAILED_ON_SUSPECT:
        tables.tasks.suspect_failures_count[row] += 1
    if is_ended:
        counts = tables.jobs.ended_counts[job_row]
        counts[record.state] = counts.get(record.state, 0) + 1
        if record.state is TaskState.failed:
            _set_first_failure(tables, job_row, record)
        tables.remove_task(row)
    else:
        _requeue(tables, row, record.retry_at_ms)
    tables.end_job_if_done(job_row, record.ended_at_ms)


def _requeue(tables: PartitionTables, row: int, retry_at_ms: int) -> None:
    job_row = tables.tasks.job_row[row]
    tables.tasks.state[row] = TaskState.queued
    tables.tasks.is_requeued[row] = False
    if tables.jobs.starts_in_parts(job_row):
        # The rounds of a multi-partition gang have a backoff of their own.
        tables.requeue_task(row, 0)
        return
    tables.requeue_task(row, retry_at_ms)
    tables.adjust_queued(job_row, 1)
    tables.enqueue(job_row)


def _set_first_failure(
    tables: PartitionTables,
    job_row: int,
    record: TaskEnded,
) -> None:
    """Stores the first task of a job that failed for good."""
    detail = (
        f'task {record.task_id} failed for good in attempt {record.attempt}'
    )
    tables.jobs.set_first_failure(job_row, detail)


__all__ = ('CHANGES', 'change', 'check_start')
