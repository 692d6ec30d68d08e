"""System that takes in facts about workers and ended attempts."""

from radishlift.core.ids import Attempt, Incarnation, TaskId, WorkerId
from radishlift.placement.failures import (
    SUSPECT_FAILURES_COUNT,
    counted_failures,
    may_quarantine,
    retry_delay_ms,
)
from radishlift.placement.gangs import end_gang_member
from radishlift.placement.jobs import JobKind, TaskState, WorkerInfo
from radishlift.placement.reasons import (
    FAILED,
    FAILED_ON_SUSPECT,
    FINISHED,
    LAPSED,
    STOPPED,
    WORKER_GONE,
    WORKER_RESTARTED,
)
from radishlift.placement.records import (
    TaskEnded,
    WorkerObserved,
    WorkerRemoved,
)
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.tables import NO_ROW
from radishlift.placement.working import EndedAttempt, Working


@SYSTEMS.register('workers')
def update_workers(working: Working, time: TickTime) -> bool:
    """Takes in observed workers and workers that are gone."""
    inputs = working.inputs
    while inputs.observed:
        worker_id = next(iter(inputs.observed))
        described = inputs.observed[worker_id]
        if not _observe(working, described, time):
            return False
        del inputs.observed[worker_id]
    while inputs.gone:
        worker_id, incarnation = inputs.gone[0]
        if not _remove(working, worker_id, incarnation, time):
            return False
        inputs.gone.popleft()
    while inputs.unreachable:
        _close(working, *inputs.unreachable.popitem())
    return True


def _close(
    working: Working,
    worker_id: WorkerId,
    incarnation: Incarnation,
) -> None:
    workers = working.tables.workers
    row = workers.row_of.get(worker_id)
    if row is None or not workers.is_present[row]:
        return
    if workers.worker_info[row].incarnation == incarnation:
        working.emit(WorkerRemoved(worker_id, incarnation))


def _observe(working: Working, described: WorkerInfo, time: TickTime) -> bool:
    workers = working.tables.workers
    row = workers.row_of.get(described.worker_id)
    if row is None:
        working.emit(WorkerObserved(described))
        return not time.is_over()
    known = workers.worker_info[row]
    if known.incarnation != described.incarnation:
        working.health.forget(row)
    if known != described or not workers.is_present[row]:
        working.emit(WorkerObserved(described))
    return _end_other_incarnations(working, row, described, time)


def _end_other_incarnations(
    working: Working,
    worker_row: int,
    described: WorkerInfo,
    time: TickTime,
) -> bool:
    tables = working.tables
    for row in list(tables.workers.tasks[worker_row]):
        if tables.tasks.incarnation[row] == described.incarnation:
            continue
        if time.is_over():
            return False
        end_lost_attempt(working, row, WORKER_RESTARTED, time.now_ms)
    return True


def _remove(
    working: Working,
    worker_id: WorkerId,
    incarnation: Incarnation,
    time: TickTime,
) -> bool:
    tables = working.tables
    worker_row = tables.workers.row_of.get(worker_id)
    if worker_row is None:
        return True
    if tables.workers.worker_info[worker_row].incarnation == incarnation:
        working.health.forget(worker_row)
        working.emit(WorkerRemoved(worker_id, incarnation))
    for row in list(tables.workers.tasks[worker_row]):
        if tables.tasks.incarnation[row] != incarnation:
            continue
        if time.is_over():
            return False
        end_lost_attempt(working, row, WORKER_GONE, time.now_ms)
    return True


def end_lost_attempt(
    working: Working,
    row: int,
    reason: str,
    now_ms: int,
) -> None:
    """Ends an attempt that did not end by itself; queues it if wanted."""
    tasks = working.tables.tasks
    state = TaskState.queued
    if not _may_requeue(working, row):
        state = TaskState.cancelled
    attempt = Attempt(tasks.attempt[row])
    task_id = tasks.task_id[row]
    _emit_end(working, row, TaskEnded(task_id, attempt, state, reason, now_ms))


def _emit_end(working: Working, row: int, ended: TaskEnded) -> None:
    job_row = working.tables.tasks.job_row[row]
    working.usage.given_orders.pop(ended.task_id, None)
    working.emit(ended)
    if working.tables.jobs.spec[job_row].kind is JobKind.gang:
        end_gang_member(working, job_row, ended.state)


def _may_requeue(working: Working, row: int) -> bool:
    tasks = working.tables.tasks
    is_stopped = tasks.state[row] is TaskState.stopping
    if is_stopped and not tasks.is_requeued[row]:
        return False
    job_row = tasks.job_row[row]
    return working.tables.jobs.is_open(job_row)


@SYSTEMS.register('endings')
def end_attempts(working: Working, time: TickTime) -> bool:
    """Takes in attempts that ended."""
    ended = working.inputs.ended
    while ended:
        if time.is_over():
            return False
        _end(working, ended.popleft(), time.now_ms)
    return True


def _end(working: Working, ended: EndedAttempt, now_ms: int) -> None:
    tasks = working.tables.tasks
    row = working.tables.task_row(TaskId(ended.task_id))
    if row is None or row == NO_ROW or not tasks.is_live(row):
        return
    if tasks.attempt[row] != ended.attempt:
        return
    match ended.state:
        case TaskState.finished:
            working.health.note_success(tasks.worker_row[row])
            _end_as(working, row, TaskState.finished, FINISHED, now_ms)
        case TaskState.failed:
            _fail(working, row, now_ms)
        case TaskState.cancelled:
            end_lost_attempt(working, row, STOPPED, now_ms)
        case _:
            end_lost_attempt(working, row, LAPSED, now_ms)


def _fail(working: Working, row: int, now_ms: int) -> None:
    tables = working.tables
    spec = tables.jobs.spec[tables.tasks.job_row[row]]
    worker_row = tables.tasks.worker_row[row]
    working.health.note_failure(worker_row, spec.job_id)
    is_faulty = _is_faulty(working, worker_row)
    failures_count = counted_failures(working, row) + 1
    # A job with one attempt must not run again whatever the cause.
    is_repeatable = spec.max_attempts > 1 and _may_requeue(working, row)
    suspect_failures_count = tables.tasks.suspect_failures_count[row]
    is_exhausted = suspect_failures_count >= SUSPECT_FAILURES_COUNT
    if is_repeatable and is_faulty and not is_exhausted:
        _end_as(working, row, TaskState.queued, FAILED_ON_SUSPECT, now_ms)
    elif is_repeatable and not is_faulty and failures_count < spec.max_attempts:
        key = f'{tables.tasks.task_id[row]} {tables.tasks.attempt[row]}'
        delay_ms = retry_delay_ms(working.settings, failures_count, key)
        _end_as(
            working,
            row,
            TaskState.queued,
            FAILED,
            now_ms,
            now_ms + delay_ms if delay_ms else 0,
        )
    else:
        _end_as(working, row, TaskState.failed, FAILED, now_ms)


def _is_faulty(working: Working, worker_row: int) -> bool:
    """Tells whether a failure is the worker's.

    A suspect that can't be quarantined, as too many are, counts as any other:
    else tasks that fail everywhere would be tried without an end.
    """
    if worker_row in working.health.quarantined:
        return True
    return working.health.is_suspect(worker_row) and may_quarantine(working)


def _end_as(
    working: Working,
    row: int,
    state: TaskState,
    reason: str,
    now_ms: int,
    retry_at_ms: int = 0,
) -> None:
    tasks = working.tables.tasks
    attempt = Attempt(tasks.attempt[row])
    task_id = tasks.task_id[row]
    _emit_end(
        working,
        row,
        TaskEnded(task_id, attempt, state, reason, now_ms, retry_at_ms),
    )


__all__ = ('end_attempts', 'end_lost_attempt', 'update_workers')
