"""What the engine derives from the tables and from its inputs.

Nothing here is durable: a successor rebuilds it from the tables, and the
inputs are repeated by their senders.
"""

from collections import deque
from dataclasses import dataclass
from typing import Any

from radishlift.config.document import ConfigDocument
from radishlift.core.ids import ConfigVersion, Incarnation, JobId, WorkerId
from radishlift.placement.job_queue import JobQueue
from radishlift.placement.jobs import Resources, TaskState, WorkerInfo
from radishlift.placement.orders import Order
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.settings import PlacementSettings
from radishlift.placement.state import PartitionState
from radishlift.placement.worker_index import WorkerIndex


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that surely does not run any more."""

    task_id: str
    attempt: int
    state: TaskState


class Inputs:
    """Facts and requests that the next ticks work through."""

    def __init__(self) -> None:
        self.cancellations: deque[JobId] = deque()
        self.observed: dict[WorkerId, WorkerInfo] = {}
        self.gone: deque[tuple[WorkerId, Incarnation]] = deque()
        self.unreachable: dict[WorkerId, Incarnation] = {}
        self.ended: deque[EndedAttempt] = deque()


class Working:
    """Indexes, queue and inputs of one engine."""

    def __init__(
        self,
        state: PartitionState,
        settings: PlacementSettings,
    ) -> None:
        self.state = state
        self.settings = settings
        self.inputs = Inputs()
        self.document = ConfigDocument(ConfigVersion(0))
        self.quota_ratio = 1.0
        self.orders: list[Order] = []
        self.records: list[Any] = []
        self.index = WorkerIndex(state.tables.workers)
        self.queue = JobQueue(state.tables.jobs)
        self.grown = Resources(0, 0, 0)
        self.total = Resources(0, 0, 0)
        self._capacity_of: dict[int, Resources] = {}

    @property
    def tables(self) -> PartitionTables:
        """The tables of the partition."""
        return self.state.tables

    def emit(self, record: Any) -> None:
        """Applies a record and keeps it for the journal."""
        self.state.apply(record)
        self.records.append(record)
        if self.tables.changed_workers:
            self.sync_workers()

    def sync_workers(self) -> None:
        """Takes over changed workers into the indexes."""
        changed = self.tables.changed_workers
        self.tables.changed_workers = {}
        for row in changed:
            self._sync_worker(row)

    def _sync_worker(self, row: int) -> None:
        workers = self.tables.workers
        self.index.update(row)
        self._sync_total(row)
        if workers.can_take(row):
            self.grown = Resources(
                max(self.grown.cpu_milli, workers.free_cpu[row]),
                max(self.grown.memory_mb, workers.free_memory[row]),
                max(
                    self.grown.accelerators_count,
                    workers.free_accelerators[row],
                ),
            )

    def _sync_total(self, row: int) -> None:
        workers = self.tables.workers
        capacity = Resources(0, 0, 0)
        if workers.is_present[row]:
            capacity = workers.worker_info[row].capacity
        before = self._capacity_of.get(row, Resources(0, 0, 0))
        if capacity is before:
            return
        self._capacity_of[row] = capacity
        total = self.total
        self.total = Resources(
            total.cpu_milli + capacity.cpu_milli - before.cpu_milli,
            total.memory_mb + capacity.memory_mb - before.memory_mb,
            total.accelerators_count
            + capacity.accelerators_count
            - before.accelerators_count,
        )


__all__ = ('EndedAttempt', 'Inputs', 'Working')
