"""Phase that cancels jobs, task by task within the budget."""

from radishlift.core.ids import Attempt, Incarnation, JobId
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.jobs import TaskState
from radishlift.placement.orders import Order, OrderKind
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.reasons import CANCELLED
from radishlift.placement.records import JobCancelled, TaskStopping


@PHASES.register('cancellations')
def cancel_jobs(context: EngineContext, budget: PhaseBudget) -> bool:
    """Cancels queued tasks at once and orders started ones to stop."""
    pending = context.inputs.cancellations
    while pending:
        if budget.is_exhausted():
            return False
        if not _cancel(context, pending[0], budget):
            return False
        pending.popleft()
    return True


def _cancel(context: EngineContext, job_id: JobId, budget: PhaseBudget) -> bool:
    jobs = context.tables.jobs
    job_row = jobs.row_of.get(job_id)
    if job_row is None:
        return True
    if jobs.is_open(job_row) and not jobs.is_ended(job_row):
        context.emit(JobCancelled(job_id, budget.now_ms))
    for row in list(jobs.task_rows[job_row].values()):
        if _is_stopped_for_good(context, row):
            continue
        if budget.is_exhausted():
            return False
        stop_attempt(context, row, CANCELLED, is_requeued=False)
    return True


def _is_stopped_for_good(context: EngineContext, row: int) -> bool:
    tasks = context.tables.tasks
    is_stopping = tasks.state[row] is TaskState.stopping
    return is_stopping and not tasks.is_requeued[row]


def stop_attempt(
    context: EngineContext,
    row: int,
    reason: str,
    *,
    is_requeued: bool,
) -> None:
    """Orders an attempt to stop; its capacity stays committed."""
    tasks = context.tables.tasks
    if not tasks.is_live(row):
        return
    attempt = Attempt(tasks.attempt[row])
    task_id = tasks.task_id[row]
    context.emit(TaskStopping(task_id, attempt, is_requeued, reason))
    order_stop(context, row, reason)


def order_stop(context: EngineContext, row: int, reason: str) -> None:
    """Adds an order to the attempt's worker to stop it."""
    tasks = context.tables.tasks
    worker = context.tables.workers.worker_info[tasks.worker_row[row]]
    context.orders.append(
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
