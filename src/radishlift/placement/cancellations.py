"""System that cancels jobs, task by task within the budget."""

from radishlift.core.ids import Attempt, Incarnation, JobId
from radishlift.placement.jobs import TaskState
from radishlift.placement.orders import Order, OrderKind
from radishlift.placement.reasons import CANCELLED
from radishlift.placement.records import JobCancelled, TaskStopping
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.working import Working


@SYSTEMS.register('cancellations')
def cancel_jobs(working: Working, time: TickTime) -> bool:
    """Cancels queued tasks at once and orders started ones to stop."""
    pending = working.inputs.cancellations
    while pending:
        if time.is_over():
            return False
        if not _cancel(working, pending[0], time):
            return False
        pending.popleft()
    return True


def _cancel(working: Working, job_id: JobId, time: TickTime) -> bool:
    jobs = working.tables.jobs
    job_row = jobs.row_of.get(job_id)
    if job_row is None:
        return True
    if jobs.is_open(job_row) and not jobs.is_ended(job_row):
        working.emit(JobCancelled(job_id, time.now_ms))
    for row in list(jobs.task_rows[job_row].values()):
        if _is_stopped_for_good(working, row):
            continue
        if time.is_over():
            return False
        stop_attempt(working, row, CANCELLED, is_requeued=False)
    return True


def _is_stopped_for_good(working: Working, row: int) -> bool:
    tasks = working.tables.tasks
    is_stopping = tasks.state[row] is TaskState.stopping
    return is_stopping and not tasks.is_requeued[row]


def stop_attempt(
    working: Working,
    row: int,
    reason: str,
    *,
    is_requeued: bool,
) -> None:
    """Orders an attempt to stop; its capacity stays committed."""
    tasks = working.tables.tasks
    if not tasks.is_live(row):
        return
    attempt = Attempt(tasks.attempt[row])
    task_id = tasks.task_id[row]
    working.emit(TaskStopping(task_id, attempt, is_requeued, reason))
    order_stop(working, row, reason)


def order_stop(working: Working, row: int, reason: str) -> None:
    """Adds the order to stop an attempt."""
    tasks = working.tables.tasks
    worker = working.tables.workers.worker_info[tasks.worker_row[row]]
    working.orders.append(
        Order(
            OrderKind.stop,
            tasks.task_id[row],
            Attempt(tasks.attempt[row]),
            worker.worker_id,
            Incarnation(tasks.incarnation[row]),
            reason,
        ),
    )


__all__ = ('cancel_jobs', 'order_stop', 'stop_attempt')
