"""Phase that ends attempts on workers that move to another partition."""

from collections.abc import Iterable

from radishlift.core.ids import Attempt, Incarnation, WorkerId
from radishlift.placement.cancellations import stop_attempt
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.gangs import stop_gang
from radishlift.placement.jobs import JobKind, TaskState
from radishlift.placement.orders import Order, OrderKind
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.reasons import RACK_MOVED
from radishlift.placement.records import WorkerRemoved


class EngineDrains:
    """Drains and removes the workers of racks that leave the partition."""

    def __init__(self, context: EngineContext) -> None:
        self._context = context

    def vacate(
        self, worker_ids: Iterable[WorkerId], *, is_stopped: bool
    ) -> None:
        """Orders checkpoints of the attempts on workers, or stops them.

        The tasks of stopped attempts are queued again.
        """
        for worker_id in worker_ids:
            self._context.inputs.vacated_workers[worker_id] = is_stopped

    def remove(self, worker_ids: Iterable[WorkerId]) -> list[WorkerRemoved]:
        """Removes workers immediately, also from the pending inputs.

        Returns the applied records. Nothing is placed on the workers until
        they are observed again.
        """
        inputs = self._context.inputs
        workers = self._context.tables.workers
        removed = []
        for worker_id in worker_ids:
            inputs.observed_workers.pop(worker_id, None)
            inputs.unreachable_workers.pop(worker_id, None)
            inputs.vacated_workers.pop(worker_id, None)
            row = workers.row_of.get(worker_id)
            if row is None or not workers.is_present[row]:
                continue
            incarnation = workers.worker_info[row].incarnation
            removal = WorkerRemoved(worker_id, incarnation)
            self._context.health.forget(row)
            self._context.state.apply(removal)
            removed.append(removal)
        self._context.sync_workers()
        return removed


@PHASES.register('drains')
def drain_workers(context: EngineContext, budget: PhaseBudget) -> bool:
    """Orders checkpoints, or stops attempts so that they are requeued."""
    vacated = context.inputs.vacated_workers
    while vacated:
        if budget.is_exhausted():
            return False
        worker_id, is_stopped = next(iter(vacated.items()))
        worker_row = context.tables.workers.row_of.get(worker_id)
        if worker_row is not None and not _drain(
            context, worker_row, budget, is_stopped=is_stopped
        ):
            return False
        del vacated[worker_id]
    return True


def _drain(
    context: EngineContext,
    worker_row: int,
    budget: PhaseBudget,
    *,
    is_stopped: bool,
) -> bool:
    tables = context.tables
    for row in list(tables.workers.task_rows[worker_row]):
        if tables.tasks.state[row] is TaskState.stopping:
            continue
        if budget.is_exhausted():
            return False
        if not is_stopped:
            _order_checkpoint(context, row)
            continue
        job_row = tables.tasks.job_row[row]
        stop_attempt(context, row, RACK_MOVED, is_requeued=True)
        if tables.jobs.spec[job_row].kind is JobKind.gang:
            stop_gang(context, job_row, RACK_MOVED)
    return True


def _order_checkpoint(context: EngineContext, row: int) -> None:
    tasks = context.tables.tasks
    attempt = Attempt(tasks.attempt[row])
    task_id = tasks.task_id[row]
    given = (attempt, OrderKind.checkpoint)
    known = context.usage.sent_orders.setdefault(task_id, set())
    if given in known:
        return
    known.add(given)
    worker = context.tables.workers.worker_info[tasks.worker_row[row]]
    context.orders.append(
        Order(
            OrderKind.checkpoint,
            task_id,
            attempt,
            worker.worker_id,
            Incarnation(tasks.incarnation[row]),
            RACK_MOVED,
        ),
    )


__all__ = ('EngineDrains', 'drain_workers')
