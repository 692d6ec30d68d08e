"""Explains where a task runs and why, or why it waits."""

from dataclasses import dataclass
from enum import Enum, unique

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import TaskId, WorkerId
from radishlift.placement.amounts import is_within
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.failures import counted_failures
from radishlift.placement.jobs import (
    JobKind,
    Resources,
    TaskState,
    job_id_of,
)
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.rules import DIMENSIONS, quota_shortage
from radishlift.placement.state import PartitionState
from radishlift.placement.tables import NO_ROW


@unique
class ExplanationKind(Enum):
    """Why a task runs, waits, or no longer runs here."""

    runs = 'runs'
    stopping = 'stopping'
    ended = 'ended'
    handed_off = 'handed_off'
    waits_for_turn = 'waits_for_turn'
    waits_for_room = 'waits_for_room'
    waits_for_retry = 'waits_for_retry'
    waits_for_quota = 'waits_for_quota'
    waits_for_gang = 'waits_for_gang'
    waits_for_quarantined_worker = 'waits_for_quarantined_worker'
    waits_for_reserved_capacity = 'waits_for_reserved_capacity'


@dataclass(frozen=True, slots=True)
class Explanation:
    """An explanation in typed form, with `detail` as a sentence.

    `dimension` is the scarce one, if any. `worker_id` is empty for a waiting
    task.
    """

    task_id: TaskId
    kind: ExplanationKind
    state: TaskState
    detail: str
    dimension: str = ''
    worker_id: WorkerId = WorkerId('')
    attempt: int = 0
    reserved: Resources | None = None
    reserved_start_ms: int = 0


@dataclass(frozen=True, slots=True)
class EngineView:
    """Volatile data of the engine, besides the journaled state."""

    context: EngineContext
    now_ms: int


def explain_task(
    state: PartitionState,
    task_id: TaskId,
    view: EngineView | None = None,
) -> Explanation | Failure:
    """Explains a task from the state of its partition.

    Without a view of the engine, retry delays, quotas and reserved starts are
    left out. Fails with `not_found`. The function may scan all workers, so it
    is meant for single requests.
    """
    tables = state.tables
    if not tables.has_task(task_id):
        return Failure(ErrorKind.not_found, f'no task {task_id} here')
    job_row = tables.jobs.row_of[job_id_of(task_id)]
    row = tables.task_row(task_id)
    if row == NO_ROW:
        return _explain_closed(tables, task_id, job_row)
    if row is not None and tables.tasks.is_live(row):
        return _explain_live(tables, row)
    return _explain_waiting(tables, task_id, job_row, view)


def _explain_closed(
    tables: PartitionTables,
    task_id: TaskId,
    job_row: int,
) -> Explanation:
    target = tables.jobs.to_partition[job_row]
    if target:
        return Explanation(
            task_id,
            ExplanationKind.handed_off,
            TaskState.queued,
            f'the job was handed off to partition {target}',
        )
    # Ended tasks have no row; only the counts by state are kept.
    counts = tables.jobs.ended_counts[job_row]
    text = ', '.join(f'{counts[state]} {state.value}' for state in counts)
    last = next(iter(counts), TaskState.cancelled)
    detail = f'the task ended; tasks of its job: {text}'
    failure = tables.jobs.first_failure(job_row)
    if failure:
        detail = f'{detail}; {failure}'
    return Explanation(task_id, ExplanationKind.ended, last, detail)


def _explain_live(tables: PartitionTables, row: int) -> Explanation:
    tasks = tables.tasks
    worker_row = tasks.worker_row[row]
    worker_id = tables.workers.worker_info[worker_row].worker_id
    kind = ExplanationKind.runs
    detail = f'{worker_id} had enough free capacity for the reservation'
    if tasks.state[row] is TaskState.stopping:
        kind = ExplanationKind.stopping
        detail = f'{worker_id} was ordered to stop it'
    return Explanation(
        tasks.task_id[row],
        kind,
        tasks.state[row],
        detail,
        worker_id=worker_id,
        attempt=tasks.attempt[row],
        reserved=tasks.reserved[row],
    )


def _explain_waiting(
    tables: PartitionTables,
    task_id: TaskId,
    job_row: int,
    view: EngineView | None,
) -> Explanation:
    demand = tables.jobs.spec[job_row].demand
    if view is not None:
        group = view.context.queue.find_group(job_row)
        demand = demand if group is None else group.key.demand
        found = _explain_rules(view, task_id, job_row, demand)
        if found is not None:
            return found
    kind, detail, dimension = _explain_capacity(tables, job_row, demand)
    is_gang = tables.jobs.spec[job_row].kind is JobKind.gang
    if is_gang and kind is ExplanationKind.waits_for_turn:
        kind = ExplanationKind.waits_for_gang
        detail = 'free capacity is too small for all members of the gang'
    return Explanation(task_id, kind, TaskState.queued, detail, dimension)


def _explain_rules(
    view: EngineView,
    task_id: TaskId,
    job_row: int,
    demand: Resources,
) -> Explanation | None:
    context = view.context
    delayed = _explain_delay(view, task_id, job_row)
    if delayed is not None:
        return delayed
    spec = context.tables.jobs.spec[job_row]
    count = 1
    if spec.kind is JobKind.gang:
        count = context.tables.jobs.startable_count(job_row)
    shortage = quota_shortage(context, spec.team, demand, count)
    if shortage is not None:
        return Explanation(
            task_id,
            ExplanationKind.waits_for_quota,
            TaskState.queued,
            shortage.detail,
            shortage.dimension,
        )
    reservation = context.reservations.reservation
    if reservation is None:
        return None
    kind = ExplanationKind.waits_for_reserved_capacity
    detail = f'free workers are reserved for job {reservation.job_id}'
    if reservation.job_id == spec.job_id:
        kind = ExplanationKind.waits_for_gang
        detail = (
            f'a start is reserved in {reservation.start_ms - view.now_ms} ms'
        )
    elif not _has_free_worker(context.tables, demand):
        return None
    return Explanation(
        task_id,
        kind,
        TaskState.queued,
        detail,
        reserved_start_ms=reservation.start_ms,
    )


def _explain_delay(
    view: EngineView,
    task_id: TaskId,
    job_row: int,
) -> Explanation | None:
    tables = view.context.tables
    delayed = tables.jobs.delayed_rows(job_row)
    row = tables.task_row(task_id)
    spec = tables.jobs.spec[job_row]
    if spec.kind is JobKind.gang and delayed:
        # The whole gang waits for the member with the latest retry time.
        row = max(delayed, key=tables.tasks.retry_at_ms.__getitem__)
    if row is None or row not in delayed:
        return None
    wait_ms = max(0, tables.tasks.retry_at_ms[row] - view.now_ms)
    failures_count = counted_failures(view.context, row)
    return Explanation(
        task_id,
        ExplanationKind.waits_for_retry,
        TaskState.queued,
        f'attempt {tables.tasks.attempt[row]} failed; {failures_count} of '
        f'{spec.max_attempts} attempts failed; the next may start in '
        f'{wait_ms} ms',
        attempt=tables.tasks.attempt[row],
    )


def _has_free_worker(tables: PartitionTables, demand: Resources) -> bool:
    workers = tables.workers
    return any(
        workers.is_schedulable(row) and workers.fits(row, demand)
        for row in workers.row_of.values()
    )


def _explain_capacity(
    tables: PartitionTables,
    job_row: int,
    demand: Resources,
) -> tuple[ExplanationKind, str, str]:
    if _has_free_worker(tables, demand):
        detail = (
            'a worker has enough free capacity; earlier work is placed first'
        )
        return ExplanationKind.waits_for_turn, detail, ''
    workers = tables.workers
    present = [
        row for row in workers.row_of.values() if workers.is_present[row]
    ]
    if any(workers.fits(row, demand) for row in present):
        kind = ExplanationKind.waits_for_quarantined_worker
        return kind, 'only quarantined workers have enough free capacity', ''
    free = [
        Resources(
            workers.free_cpu[row],
            workers.free_memory[row],
            workers.free_accelerators[row],
        )
        for row in present
    ]
    dimension = _scarcest(demand, free)
    fits_empty = any(
        is_within(demand, workers.worker_info[row].capacity) for row in present
    )
    detail = f'no worker has enough free {dimension}'
    if not fits_empty:
        detail = f'no worker of this partition has enough {dimension}'
    return ExplanationKind.waits_for_room, detail, dimension


def _scarcest(demand: Resources, free: list[Resources]) -> str:
    """Returns the dimension in which the fewest workers have enough."""
    counts = {
        name: sum(
            getattr(amount, name) >= getattr(demand, name) for amount in free
        )
        for name in DIMENSIONS
    }
    return min(counts, key=counts.__getitem__)


__all__ = (
    'EngineView',
    'Explanation',
    'ExplanationKind',
    'explain_task',
)
