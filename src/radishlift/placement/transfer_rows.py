"""Progress of a handed-off job, read from the tables and restored in them."""

from radishlift.core.ids import Attempt
from radishlift.placement.jobs import task_id_of
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.transfers import JobTransfer, QueuedTask


def transfer_of(tables: PartitionTables, job_row: int) -> JobTransfer:
    """Returns the progress of a job without live attempts."""
    jobs = tables.jobs
    tasks = tables.tasks
    return JobTransfer(
        jobs.passed_partitions[job_row],
        jobs.fresh_index[job_row],
        tuple(
            QueuedTask(
                index,
                Attempt(tasks.attempt[row]),
                tasks.failed_on[row],
                tasks.retry_at_ms[row],
                tasks.suspect_failures_count[row],
            )
            for index, row in sorted(jobs.task_rows[job_row].items())
        ),
        dict(jobs.ended_counts[job_row]),
    )


def restore_transfer(
    tables: PartitionTables,
    job_row: int,
    transfer: JobTransfer,
) -> None:
    """Gives a job that was just added the progress made elsewhere."""
    jobs = tables.jobs
    job_id = jobs.spec[job_row].job_id
    jobs.fresh_index[job_row] = transfer.started_count
    jobs.ended_counts[job_row] = dict(transfer.ended_counts)
    for task in transfer.queued_tasks:
        task_id = task_id_of(job_id, task.index)
        row = tables.tasks.add(job_row, task.index, task_id)
        tables.tasks.attempt[row] = task.attempt
        tables.tasks.failed_on[row] = task.failed_on
        jobs.task_rows[job_row][task.index] = row
        failures_count = task.suspect_failures_count
        tables.tasks.suspect_failures_count[row] = failures_count
        tables.queue_again(row, task.retry_at_ms)


__all__ = ('restore_transfer', 'transfer_of')
