"""System that ends the attempts on workers that another partition gets."""

from collections.abc import Iterable

from radishlift.core.ids import Attempt, Incarnation, WorkerId
from radishlift.placement.cancellations import stop_attempt
from radishlift.placement.gangs import stop_gang
from radishlift.placement.jobs import JobKind, TaskState
from radishlift.placement.orders import Order, OrderKind
from radishlift.placement.reasons import RACK_MOVED
from radishlift.placement.records import WorkerRemoved
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.working import Working


class EngineDrains:
    """Empties and removes workers of racks that a partition gives up."""

    def __init__(self, working: Working) -> None:
        self._working = working

    def vacate(
        self, worker_ids: Iterable[WorkerId], *, is_stopped: bool
    ) -> None:
        """Orders checkpoints of what runs on workers, or stops it.

        What is stopped is queued again.
        """
        for worker_id in worker_ids:
            self._working.inputs.vacated[worker_id] = is_stopped

    def remove(self, worker_ids: Iterable[WorkerId]) -> list[WorkerRemoved]:
        """Removes workers at once, also from what is not worked through.

        Returns the applied records. Nothing is placed on the workers until
        they are observed again.
        """
        inputs = self._working.inputs
        workers = self._working.tables.workers
        removed = []
        for worker_id in worker_ids:
            inputs.observed.pop(worker_id, None)
            inputs.unreachable.pop(worker_id, None)
            inputs.vacated.pop(worker_id, None)
            row = workers.row_of.get(worker_id)
            if row is None or not workers.is_present[row]:
                continue
            incarnation = workers.worker_info[row].incarnation
            removal = WorkerRemoved(worker_id, incarnation)
            self._working.health.forget(row)
            self._working.state.apply(removal)
            removed.append(removal)
        self._working.sync_workers()
        return removed


@SYSTEMS.register('drains')
def drain_workers(working: Working, time: TickTime) -> bool:
    """Orders checkpoints, or stops attempts that are then queued again."""
    vacated = working.inputs.vacated
    while vacated:
        if time.is_over():
            return False
        worker_id, is_stopped = next(iter(vacated.items()))
        worker_row = working.tables.workers.row_of.get(worker_id)
        if worker_row is not None and not _drain(
            working, worker_row, time, is_stopped=is_stopped
        ):
            return False
        del vacated[worker_id]
    return True


def _drain(
    working: Working,
    worker_row: int,
    time: TickTime,
    *,
    is_stopped: bool,
) -> bool:
    tables = working.tables
    for row in list(tables.workers.tasks[worker_row]):
        if tables.tasks.state[row] is TaskState.stopping:
            continue
        if time.is_over():
            return False
        if not is_stopped:
            _order_checkpoint(working, row)
            continue
        job_row = tables.tasks.job_row[row]
        stop_attempt(working, row, RACK_MOVED, is_requeued=True)
        if tables.jobs.spec[job_row].kind is JobKind.gang:
            stop_gang(working, job_row, RACK_MOVED)
    return True


def _order_checkpoint(working: Working, row: int) -> None:
    tasks = working.tables.tasks
    attempt = Attempt(tasks.attempt[row])
    task_id = tasks.task_id[row]
    given = (attempt, OrderKind.checkpoint)
    known = working.usage.given_orders.setdefault(task_id, set())
    if given in known:
        return
    known.add(given)
    worker = working.tables.workers.worker_info[tasks.worker_row[row]]
    working.orders.append(
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
