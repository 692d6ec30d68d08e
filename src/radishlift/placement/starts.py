"""Starts the next queued task of a job."""

from radishlift.core.ids import Attempt
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.jobs import JobKind, JobSpec, Resources, task_id_of
from radishlift.placement.records import TaskPlaced
from radishlift.placement.tables import NO_ROW

NEVER_MS = 1 << 62
"""Estimated end of work whose end is unknown."""


def next_task_row(context: EngineContext, job_row: int) -> int:
    """Returns the row of the next task, or `NO_ROW` if it was never started."""
    return next(iter(context.tables.jobs.requeued[job_row]), NO_ROW)


def estimated_end_ms(spec: JobSpec, placed_at_ms: int) -> int:
    """Returns the estimated end of a task from its declared run time."""
    if spec.kind is JobKind.service or not spec.run_time_ms:
        return NEVER_MS
    return placed_at_ms + spec.run_time_ms


def start_next(
    context: EngineContext,
    job_row: int,
    worker_row: int,
    demand: Resources,
    now_ms: int,
) -> TaskPlaced:
    """Commits a worker's capacity to the next queued task of a job."""
    jobs = context.tables.jobs
    tasks = context.tables.tasks
    task_row = next_task_row(context, job_row)
    attempt = 1
    if task_row == NO_ROW:
        job_id = jobs.spec[job_row].job_id
        task_id = task_id_of(job_id, jobs.first_unstarted_index[job_row])
    else:
        task_id = tasks.task_id[task_row]
        attempt = tasks.attempt[task_row] + 1
    worker = context.tables.workers.worker_info[worker_row]
    start = TaskPlaced(
        task_id,
        Attempt(attempt),
        worker.worker_id,
        worker.incarnation,
        demand,
        now_ms,
    )
    context.emit(start)
    return start


__all__ = ('NEVER_MS', 'estimated_end_ms', 'next_task_row', 'start_next')
