"""Hands what workers report to the placement engine."""

from collections.abc import Callable, Sequence

from radishlift.core.clock import Clock
from radishlift.core.ids import Incarnation, TaskId, WorkerId
from radishlift.partitions.spread import WorkerAssignment
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.jobs import UsageReport, WorkerInfo, job_id_of
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.tables import NO_ROW
from radishlift.workers.messages import AttemptKey
from radishlift.workers.session import EndedAttempt


class WorkerFacts:
    """The `WorkerEvents` of one partition.

    `closed` are the workers that leave or were moved to another partition.
    """

    def __init__(
        self,
        engine: PlacementEngine,
        tables: PartitionTables,
        clock: Clock,
        wake: Callable[[], None],
    ) -> None:
        self._engine = engine
        self._tables = tables
        self._clock = clock
        self._wake = wake
        self._seen: dict[WorkerId, WorkerInfo] = {}
        self.closed: set[WorkerId] = set()
        self._workers: WorkerAssignment | None = None

    def assign(self, workers: WorkerAssignment) -> None:
        """Closes workers that leave or moved away, and reopens others."""
        self._workers = workers
        for worker_id, described in self._seen.items():
            is_open = workers.is_open(worker_id)
            if is_open and worker_id in self.closed:
                self.closed.discard(worker_id)
                self._engine.observe_worker(described)
            elif not is_open and worker_id not in self.closed:
                self._close(described)
        self._close_unseen(workers)
        self._wake()

    def worker_seen(self, described: WorkerInfo) -> None:
        """A worker answers; its incarnation and capacity."""
        self._seen[described.worker_id] = described
        workers = self._workers
        if workers is None or workers.is_open(described.worker_id):
            self.closed.discard(described.worker_id)
            self._engine.observe_worker(described)
        else:
            self._close(described)
        self._wake()

    def drop(self, worker_id: WorkerId) -> None:
        """Forgets a worker that another partition gets."""
        self._seen.pop(worker_id, None)
        self.closed.discard(worker_id)

    def worker_unreachable(
        self,
        worker_id: WorkerId,
        incarnation: Incarnation,
    ) -> None:
        """A worker stopped answering: nothing is placed on it."""
        self._seen.pop(worker_id, None)
        self._engine.observe_worker_loss(worker_id, incarnation, may_run=True)
        self._wake()

    def worker_lost(
        self, worker_id: WorkerId, incarnation: Incarnation
    ) -> None:
        """No attempt of this incarnation of a worker runs any more."""
        seen = self._seen.get(worker_id)
        if seen is not None and seen.incarnation == incarnation:
            self._seen.pop(worker_id)
        self._engine.observe_worker_loss(worker_id, incarnation)
        self._wake()

    def usage_reported(
        self,
        worker_id: WorkerId,
        reports: Sequence[UsageReport],
    ) -> None:
        """Lagged usage of the running attempts of a worker."""
        self._engine.observe_usage(worker_id, reports, self._clock.wall_ms())

    def attempt_ended(self, ended: EndedAttempt) -> None:
        """An attempt surely does not run any more."""
        self._engine.observe_task_end(
            ended.key.task_id,
            ended.key.attempt,
            ended.state,
        )
        self._wake()

    def is_confirmed_ended(self, key: AttemptKey) -> bool:
        """Tells whether the journal shows that an attempt has ended.

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

    def _close_unseen(self, workers: WorkerAssignment) -> None:
        """Closes workers of the journal that no longer belong here.

        A successor reads them as present before it has reached them.
        """
        table = self._tables.workers
        for worker_id, row in table.row_of.items():
            is_known = worker_id in self._seen or workers.is_open(worker_id)
            if table.is_present[row] and not is_known:
                incarnation = table.worker_info[row].incarnation
                self._engine.observe_worker_loss(
                    worker_id, incarnation, may_run=True
                )

    def _close(self, described: WorkerInfo) -> None:
        worker_id = described.worker_id
        self.closed.add(worker_id)
        self._engine.observe_worker_loss(
            worker_id,
            described.incarnation,
            may_run=True,
        )


def is_current(tables: PartitionTables, key: AttemptKey) -> bool:
    """Tells whether an attempt holds capacity according to the tables."""
    row = tables.task_row(TaskId(key.task_id))
    if row is None or row == NO_ROW or not tables.tasks.is_live(row):
        return False
    return tables.tasks.attempt[row] == key.attempt


__all__ = ('WorkerFacts', 'is_current')
