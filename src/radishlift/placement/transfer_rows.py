"""Reads the progress of a handed-off job from tables and restores it."""

from radishlift.core.ids import Attempt
from radishlift.placement.jobs import task_id_of
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.transfers import JobTransfer, QueuedTask


def read_transfer(tables: PartitionTables, job_row: int) -> JobTransfer:
    """Returns the progress of a job without live attempts."""
    jobs = tables.jobs
    return JobTransfer(
        jobs.passed_partitions[job_row],
        jobs.first_unstarted_index[job_row],
        started_tasks(tables, job_row),
        dict(jobs.ended_counts[job_row]),
    )


def started_tasks(
    tables: PartitionTables,
    job_row: int,
) -> tuple[QueuedTask, ...]:
    """Lists the queued tasks that were started before, by index."""
    tasks = tables.tasks
    return tuple(
        QueuedTask(
            index,
            Attempt(tasks.attempt[row]),
            tasks.failed_on[row],
            tasks.retry_at_ms[row],
            tasks.suspect_failures_count[row],
        )
        for index, row in sorted(tables.jobs.task_rows[job_row].items())
    )


def restore_transfer(
    tables: PartitionTables,
    job_row: int,
    transfer: JobTransfer,
) -> None:
    """Sets the progress of a new job to that made in other partitions."""
    jobs = tables.jobs
    jobs.first_unstarted_index[job_row] = transfer.started_count
    jobs.ended_counts[job_row] = dict(transfer.ended_counts)
    for task in transfer.queued_tasks:
        add_queued_task(tables, job_row, task)


def add_queued_task(
    tables: PartitionTables,
    job_row: int,
    queued: QueuedTask,
) -> None:
    """Adds a task that was started elsewhere and is queued again."""
    jobs = tables.jobs
    task_id = task_id_of(jobs.spec[job_row].job_id, queued.index)
    row = tables.tasks.add(job_row, queued.index, task_id)
    tables.tasks.attempt[row] = queued.attempt
    tables.tasks.failed_on[row] = queued.failed_on
    jobs.task_rows[job_row][queued.index] = row
    failures_count = queued.suspect_failures_count
    tables.tasks.suspect_failures_count[row] = failures_count
    tables.requeue_task(row, queued.retry_at_ms)


__all__ = (
    'add_queued_task',
    'restore_transfer',
    'started_tasks',
    'read_transfer',
)
