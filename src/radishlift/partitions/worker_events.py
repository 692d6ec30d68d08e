"""Passes what workers report to the placement engine."""

from collections.abc import Callable, Sequence

from radishlift.core.clock import Clock
from radishlift.core.ids import Incarnation, TaskId, WorkerId
from radishlift.partitions.worker_assignment import WorkerAssignment
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.jobs import UsageReport, WorkerInfo, job_id_of
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.tables import NO_ROW
from radishlift.workers.messages import AttemptKey
from radishlift.workers.session import EndedAttempt


class PartitionWorkerEvents:
    """The `WorkerEvents` of one partition.

    `closed_workers` are leaving or were moved to another partition: they get no
    new tasks.
    """

    def __init__(
        self,
        engine: PlacementEngine,
        tables: PartitionTables,
        clock: Clock,
        request_tick: Callable[[], None],
    ) -> None:
        self._engine = engine
        self._tables = tables
        self._clock = clock
        self._request_tick = request_tick
        self._reachable: dict[WorkerId, WorkerInfo] = {}
        self.closed_workers: set[WorkerId] = set()
        self._assignment: WorkerAssignment | None = None

    def set_assignment(self, assignment: WorkerAssignment) -> None:
        """Closes workers that leave or were moved away, and reopens others."""
        self._assignment = assignment
        for worker_id, info in self._reachable.items():
            is_open = assignment.is_open(worker_id)
            if is_open and worker_id in self.closed_workers:
                self.closed_workers.discard(worker_id)
                self._engine.observe_worker(info)
            elif not is_open and worker_id not in self.closed_workers:
                self._close(info)
        self._close_unassigned(assignment)
        self._request_tick()

    def worker_seen(self, info: WorkerInfo) -> None:
        """Stores the incarnation and capacity of a worker that answers."""
        self._reachable[info.worker_id] = info
        assignment = self._assignment
        if assignment is None or assignment.is_open(info.worker_id):
            self.closed_workers.discard(info.worker_id)
            self._engine.observe_worker(info)
        else:
            self._close(info)
        self._request_tick()

    def forget_worker(self, worker_id: WorkerId) -> None:
        """Forgets a worker that was moved to another partition."""
        self._reachable.pop(worker_id, None)
        self.closed_workers.discard(worker_id)

    def worker_unreachable(
        self,
        worker_id: WorkerId,
        incarnation: Incarnation,
    ) -> None:
        """Excludes a worker that stopped answering from placement."""
        self._reachable.pop(worker_id, None)
        self._engine.observe_worker_loss(worker_id, incarnation, may_run=True)
        self._request_tick()

    def worker_lost(
        self, worker_id: WorkerId, incarnation: Incarnation
    ) -> None:
        """Removes a worker incarnation of which no attempt can run."""
        known = self._reachable.get(worker_id)
        if known is not None and known.incarnation == incarnation:
            self._reachable.pop(worker_id)
        self._engine.observe_worker_loss(worker_id, incarnation)
        self._request_tick()

    def usage_reported(
        self,
        worker_id: WorkerId,
        reports: Sequence[UsageReport],
    ) -> None:
        """Passes on the usage of running attempts, which arrives with a lag."""
        self._engine.observe_usage(worker_id, reports, self._clock.wall_ms())

    def attempt_ended(self, ended: EndedAttempt) -> None:
        """Reports an attempt that is confirmed ended to the engine."""
        self._engine.observe_task_end(
            ended.key.task_id,
            ended.key.attempt,
            ended.state,
        )
        self._request_tick()

    def is_confirmed_ended(self, key: AttemptKey) -> bool:
        """Returns whether an attempt has ended according to the journal.

        False for a job that is unknown or was handed off: its tasks belong to
        another partition.
        """
        tables = self._tables
        job_row = tables.jobs.row_of.get(job_id_of(key.task_id))
        if job_row is None or tables.jobs.to_partition[job_row]:
            return False
        row = tables.task_row(key.task_id)
        if row is None:
            return False
        if row == NO_ROW or key.attempt < tables.tasks.attempt[row]:
            return True
        return not is_current(tables, key)

    def _close_unassigned(self, assignment: WorkerAssignment) -> None:
        """Closes workers of the journal that no longer belong here.

        A new owner reads them as present before it has reached them.
        """
        table = self._tables.workers
        for worker_id, row in table.row_of.items():
            is_known = worker_id in self._reachable or assignment.is_open(
                worker_id
            )
            if table.is_present[row] and not is_known:
                incarnation = table.worker_info[row].incarnation
                self._engine.observe_worker_loss(
                    worker_id, incarnation, may_run=True
                )

    def _close(self, info: WorkerInfo) -> None:
        worker_id = info.worker_id
        self.closed_workers.add(worker_id)
        self._engine.observe_worker_loss(
            worker_id,
            info.incarnation,
            may_run=True,
        )


def is_current(tables: PartitionTables, key: AttemptKey) -> bool:
    """Returns whether an attempt holds capacity according to the tables."""
    row = tables.task_row(TaskId(key.task_id))
    if row is None or row == NO_ROW or not tables.tasks.is_live(row):
        return False
    return tables.tasks.attempt[row] == key.attempt


__all__ = ('PartitionWorkerEvents', 'is_current')
