"""Places gangs: either all members start in the same tick or none does."""

from itertools import repeat

from radishlift.placement.amounts import count_fitting
from radishlift.placement.cancellations import stop_attempt
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.jobs import Resources, TaskState
from radishlift.placement.placement_filter import PlacementFilter
from radishlift.placement.policies import Policy
from radishlift.placement.starts import start_next
from radishlift.placement.worker_selection import fitting_workers


def find_gang_workers(
    context: EngineContext,
    policy: Policy,
    demand: Resources,
    tasks_count: int,
    worker_filter: PlacementFilter,
) -> list[int]:
    """Returns a worker row for each member, or an empty list."""
    workers = context.tables.workers
    rows: list[int] = []
    for row in fitting_workers(context, policy, demand, worker_filter):
        free = Resources(
            workers.free_cpu[row],
            workers.free_memory[row],
            workers.free_accelerators[row],
        )
        left_count = tasks_count - len(rows)
        rows.extend(repeat(row, count_fitting(demand, free, left_count)))
        if len(rows) == tasks_count:
            return rows
    return []


def count_fitting_members(
    context: EngineContext,
    policy: Policy,
    demand: Resources,
    limit: int,
    worker_filter: PlacementFilter,
) -> int:
    """Counts the members that fit into the free capacity, up to a limit."""
    workers = context.tables.workers
    fitting_count = 0
    for row in fitting_workers(context, policy, demand, worker_filter):
        free = Resources(
            workers.free_cpu[row],
            workers.free_memory[row],
            workers.free_accelerators[row],
        )
        fitting_count += count_fitting(demand, free, limit - fitting_count)
        if fitting_count == limit:
            break
    return fitting_count


def start_gang(
    context: EngineContext,
    job_row: int,
    rows: list[int],
    demand: Resources,
    now_ms: int,
) -> None:
    """Starts all members, without checks of the time budget."""
    for row in rows:
        start_next(context, job_row, row, demand, now_ms)


def end_gang_member(
    context: EngineContext,
    job_row: int,
    state: TaskState,
) -> None:
    """Stops the other members if a member ended without finishing.

    The members of a gang work together. If a member is queued again, the
    whole gang starts again; if it failed for good, the job is cancelled.
    """
    if state is TaskState.failed:
        job_id = context.tables.jobs.spec[job_row].job_id
        context.inputs.cancellations.append(job_id)
    elif state is TaskState.queued:
        stop_gang(context, job_row, 'another member of the gang stopped')


def stop_gang(context: EngineContext, job_row: int, reason: str) -> None:
    """Stops all live members so that they are queued again."""
    tasks = context.tables.tasks
    for row in list(context.tables.jobs.task_rows[job_row].values()):
        if tasks.is_live(row) and tasks.state[row] is not TaskState.stopping:
            stop_attempt(context, row, reason, is_requeued=True)


__all__ = (
    'count_fitting_members',
    'end_gang_member',
    'find_gang_workers',
    'start_gang',
    'stop_gang',
)
