"""Phase that queues failed tasks again after their delay."""

import heapq

from radishlift.placement.engine_context import EngineContext
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.tables import NO_ROW


@PHASES.register('retries')
def requeue_delayed_tasks(context: EngineContext, budget: PhaseBudget) -> bool:
    """Queues the tasks whose retry delay has passed."""
    tables = context.tables
    while tables.tasks.delayed:
        retry_at_ms, task_id = tables.tasks.delayed[0]
        if retry_at_ms > budget.now_ms:
            return True
        if budget.is_exhausted():
            return False
        heapq.heappop(tables.tasks.delayed)
        row = tables.task_row(task_id)
        if row is None or row == NO_ROW:
            continue
        job_row = tables.tasks.job_row[row]
        is_delayed = row in tables.jobs.delayed_rows(job_row)
        if is_delayed and tables.tasks.retry_at_ms[row] == retry_at_ms:
            del tables.jobs.delayed_rows(job_row)[row]
            tables.jobs.requeued[job_row][row] = None
            tables.enqueue(job_row)
    return True


__all__ = ('requeue_delayed_tasks',)
