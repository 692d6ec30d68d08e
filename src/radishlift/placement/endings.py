"""Phases that process reports about workers and ended attempts."""

from radishlift.core.ids import Attempt, Incarnation, TaskId, WorkerId
from radishlift.placement.engine_context import EndedAttempt, EngineContext
from radishlift.placement.failures import (
    SUSPECT_FAILURES_COUNT,
    can_quarantine,
    counted_failures,
    retry_delay_ms,
)
from radishlift.placement.gangs import end_gang_member
from radishlift.placement.jobs import JobKind, TaskState, WorkerInfo
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.reasons import (
    FAILED,
    FAILED_ON_SUSPECT,
    FINISHED,
    LEASE_EXPIRED,
    STOPPED,
    WORKER_LOST,
    WORKER_RESTARTED,
)
from radishlift.placement.records import (
    TaskEnded,
    WorkerObserved,
    WorkerRemoved,
)
from radishlift.placement.tables import NO_ROW


@PHASES.register('workers')
def update_workers(context: EngineContext, budget: PhaseBudget) -> bool:
    """Processes reports of observed, lost and unreachable workers."""
    inputs = context.inputs
    while inputs.observed_workers:
        worker_id = next(iter(inputs.observed_workers))
        worker_info = inputs.observed_workers[worker_id]
        if not _observe_worker(context, worker_info, budget):
            return False
        del inputs.observed_workers[worker_id]
    while inputs.lost_workers:
        worker_id, incarnation = inputs.lost_workers[0]
        if not _remove_worker(context, worker_id, incarnation, budget):
            return False
        inputs.lost_workers.popleft()
    while inputs.unreachable_workers:
        _mark_unreachable(context, *inputs.unreachable_workers.popitem())
    return True


def _mark_unreachable(
    context: EngineContext,
    worker_id: WorkerId,
    incarnation: Incarnation,
) -> None:
    workers = context.tables.workers
    row = workers.row_of.get(worker_id)
    if row is None or not workers.is_present[row]:
        return
    if workers.worker_info[row].incarnation == incarnation:
        context.emit(WorkerRemoved(worker_id, incarnation))


def _observe_worker(
    context: EngineContext, worker_info: WorkerInfo, budget: PhaseBudget
) -> bool:
    workers = context.tables.workers
    row = workers.row_of.get(worker_info.worker_id)
    if row is None:
        context.emit(WorkerObserved(worker_info))
        return not budget.is_exhausted()
    known = workers.worker_info[row]
    if known.incarnation != worker_info.incarnation:
        context.health.forget(row)
    if known != worker_info or not workers.is_present[row]:
        context.emit(WorkerObserved(worker_info))
    return _end_other_incarnations(context, row, worker_info, budget)


def _end_other_incarnations(
    context: EngineContext,
    worker_row: int,
    worker_info: WorkerInfo,
    budget: PhaseBudget,
) -> bool:
    tables = context.tables
    for row in list(tables.workers.task_rows[worker_row]):
        if tables.tasks.incarnation[row] == worker_info.incarnation:
            continue
        if budget.is_exhausted():
            return False
        end_lost_attempt(context, row, WORKER_RESTARTED, budget.now_ms)
    return True


def _remove_worker(
    context: EngineContext,
    worker_id: WorkerId,
    incarnation: Incarnation,
    budget: PhaseBudget,
) -> bool:
    tables = context.tables
    worker_row = tables.workers.row_of.get(worker_id)
    if worker_row is None:
        return True
    if tables.workers.worker_info[worker_row].incarnation == incarnation:
        context.health.forget(worker_row)
        context.emit(WorkerRemoved(worker_id, incarnation))
    for row in list(tables.workers.task_rows[worker_row]):
        if tables.tasks.incarnation[row] != incarnation:
            continue
        if budget.is_exhausted():
            return False
        end_lost_attempt(context, row, WORKER_LOST, budget.now_ms)
    return True


def end_lost_attempt(
    context: EngineContext,
    row: int,
    reason: str,
    now_ms: int,
) -> None:
    """Ends an attempt that did not end by itself.

    Its task is queued again unless it was cancelled or its job is closed.
    """
    tasks = context.tables.tasks
    state = TaskState.queued
    if not _may_requeue(context, row):
        state = TaskState.cancelled
    attempt = Attempt(tasks.attempt[row])
    task_id = tasks.task_id[row]
    _emit_end(context, row, TaskEnded(task_id, attempt, state, reason, now_ms))


def _emit_end(context: EngineContext, row: int, ended: TaskEnded) -> None:
    job_row = context.tables.tasks.job_row[row]
    context.usage.sent_orders.pop(ended.task_id, None)
    context.emit(ended)
    if context.tables.jobs.spec[job_row].kind is JobKind.gang:
        end_gang_member(context, job_row, ended.state)


def _may_requeue(context: EngineContext, row: int) -> bool:
    tasks = context.tables.tasks
    is_stopped = tasks.state[row] is TaskState.stopping
    if is_stopped and not tasks.is_requeued[row]:
        return False
    job_row = tasks.job_row[row]
    return context.tables.jobs.is_open(job_row)


@PHASES.register('endings')
def end_attempts(context: EngineContext, budget: PhaseBudget) -> bool:
    """Processes the ends of attempts."""
    ended = context.inputs.ended_attempts
    while ended:
        if budget.is_exhausted():
            return False
        _end_attempt(context, ended.popleft(), budget.now_ms)
    return True


def _end_attempt(
    context: EngineContext, ended: EndedAttempt, now_ms: int
) -> None:
    tasks = context.tables.tasks
    row = context.tables.task_row(TaskId(ended.task_id))
    if row is None or row == NO_ROW or not tasks.is_live(row):
        return
    if tasks.attempt[row] != ended.attempt:
        return
    match ended.state:
        case TaskState.finished:
            context.health.count_success(tasks.worker_row[row])
            _end_as(context, row, TaskState.finished, FINISHED, now_ms)
        case TaskState.failed:
            _end_failed(context, row, now_ms)
        case TaskState.cancelled:
            end_lost_attempt(context, row, STOPPED, now_ms)
        case _:
            end_lost_attempt(context, row, LEASE_EXPIRED, now_ms)


def _end_failed(context: EngineContext, row: int, now_ms: int) -> None:
    tables = context.tables
    spec = tables.jobs.spec[tables.tasks.job_row[row]]
    worker_row = tables.tasks.worker_row[row]
    context.health.count_failure(worker_row, spec.job_id)
    is_faulty = _is_faulty(context, worker_row)
    failures_count = counted_failures(context, row) + 1
    # A job with a single attempt must not run again, whatever the cause.
    is_repeatable = spec.max_attempts > 1 and _may_requeue(context, row)
    suspect_failures_count = tables.tasks.suspect_failures_count[row]
    is_exhausted = suspect_failures_count >= SUSPECT_FAILURES_COUNT
    if is_repeatable and is_faulty and not is_exhausted:
        _end_as(context, row, TaskState.queued, FAILED_ON_SUSPECT, now_ms)
    elif is_repeatable and not is_faulty and failures_count < spec.max_attempts:
        key = f'{tables.tasks.task_id[row]} {tables.tasks.attempt[row]}'
        delay_ms = retry_delay_ms(context.settings, failures_count, key)
        _end_as(
            context,
            row,
            TaskState.queued,
            FAILED,
            now_ms,
            now_ms + delay_ms if delay_ms else 0,
        )
    else:
        _end_as(context, row, TaskState.failed, FAILED, now_ms)


def _is_faulty(context: EngineContext, worker_row: int) -> bool:
    """Returns whether a failure is attributed to the worker.

    A suspect worker that can't be quarantined because too many are counts as
    healthy. Otherwise a task that fails on all workers would be retried
    without limit.
    """
    if worker_row in context.health.quarantined:
        return True
    return context.health.is_suspect(worker_row) and can_quarantine(context)


def _end_as(
    context: EngineContext,
    row: int,
    state: TaskState,
    reason: str,
    now_ms: int,
    retry_at_ms: int = 0,
) -> None:
    tasks = context.tables.tasks
    attempt = Attempt(tasks.attempt[row])
    task_id = tasks.task_id[row]
    _emit_end(
        context,
        row,
        TaskEnded(task_id, attempt, state, reason, now_ms, retry_at_ms),
    )


__all__ = ('end_attempts', 'end_lost_attempt', 'update_workers')
