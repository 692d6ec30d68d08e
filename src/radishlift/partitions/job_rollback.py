"""Rolls back jobs of which nothing can have been written to the store.

A job is placed before its acceptance is journaled, so its placements are
rolled back with it. Their starts were not sent, as these wait for the row.
"""

from typing import Any

from radishlift.core.ids import JobId
from radishlift.partitions.open_partition import OpenPartition
from radishlift.placement.jobs import JobKind, TaskState, job_id_of
from radishlift.placement.records import (
    JobAccepted,
    JobCancelled,
    JobForgotten,
    TaskEnded,
    TaskPlaced,
)


def roll_back_job(partition: OpenPartition, accepted: JobAccepted) -> bool:
    """Removes a job if no record of it is in a row that was sent.

    Returns False and changes nothing if a record may have been written, or if
    more happened to the job than one placement of each started task.
    """
    job_id = accepted.spec.job_id
    found = {
        position: change
        for position, change in partition.log.not_durable()
        if _job_of(change) == job_id
    }
    if not _can_roll_back(partition, accepted, list(found.values())):
        return False
    if not partition.log.journal.cancel(*found):
        return False
    states = partition.states
    states.apply(JobCancelled(job_id))
    for change in found.values():
        if isinstance(change, TaskPlaced):
            partition.effects.cancel_start(change)
            states.apply(
                TaskEnded(
                    change.task_id,
                    change.attempt,
                    TaskState.cancelled,
                    'withdrawn',
                ),
            )
    states.apply(JobForgotten(job_id))
    partition.request_tick()
    return True


def _can_roll_back(
    partition: OpenPartition,
    accepted: JobAccepted,
    changes: list[Any],
) -> bool:
    jobs = partition.states.placement.tables.jobs
    row = jobs.row_of.get(accepted.spec.job_id)
    if row is None or accepted.spec.kind is JobKind.gang:
        return False
    # A repeated submission finds the first acceptance, which may be durable.
    if not changes or changes[0] != accepted:
        return False
    placed_count = len(changes) - 1
    all_placed = all(isinstance(change, TaskPlaced) for change in changes[1:])
    return all_placed and placed_count == len(jobs.task_rows[row])


def _job_of(change: Any) -> JobId | None:
    if isinstance(change, JobAccepted):
        return change.spec.job_id
    task_id = getattr(change, 'task_id', None)
    if task_id is not None:
        return job_id_of(task_id)
    job_id: JobId | None = getattr(change, 'job_id', None)
    return job_id


__all__ = ('roll_back_job',)
