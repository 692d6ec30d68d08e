"""Takes back jobs of which certainly nothing was written.

A job is placed before its acceptance is journaled, so its placements are
taken back with it. Their starts were not sent, since these wait for the row.
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


def take_back(opened: OpenPartition, accepted: JobAccepted) -> bool:
    """Removes a job if none of its records is in a row that was sent.

    Returns False, and changes nothing, if one may have been written, or if
    more happened to the job than that tasks of it were placed once.
    """
    job_id = accepted.spec.job_id
    found = {
        position: change
        for position, change in opened.log.undurable()
        if _job_of(change) == job_id
    }
    if not _is_untouched(opened, accepted, list(found.values())):
        return False
    if not opened.log.journal.cancel(*found):
        return False
    states = opened.states
    states.apply(JobCancelled(job_id))
    for change in found.values():
        if isinstance(change, TaskPlaced):
            opened.effects.drop(change)
            states.apply(
                TaskEnded(
                    change.task_id,
                    change.attempt,
                    TaskState.cancelled,
                    'withdrawn',
                ),
            )
    states.apply(JobForgotten(job_id))
    opened.wake()
    return True


def _is_untouched(
    opened: OpenPartition,
    accepted: JobAccepted,
    changes: list[Any],
) -> bool:
    jobs = opened.states.placement.tables.jobs
    row = jobs.row_of.get(accepted.spec.job_id)
    if row is None or accepted.spec.kind is JobKind.gang:
        return False
    # A repeat of the job sees the first acceptance, which may be durable.
    if not changes or changes[0] != accepted:
        return False
    placed_count = len(changes) - 1
    are_placed = all(isinstance(each, TaskPlaced) for each in changes[1:])
    return are_placed and placed_count == len(jobs.task_rows[row])


def _job_of(change: Any) -> JobId | None:
    if isinstance(change, JobAccepted):
        return change.spec.job_id
    task_id = getattr(change, 'task_id', None)
    if task_id is not None:
        return job_id_of(task_id)
    job_id: JobId | None = getattr(change, 'job_id', None)
    return job_id


__all__ = ('take_back',)
