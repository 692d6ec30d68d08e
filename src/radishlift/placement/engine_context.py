"""State of one engine and what is derived from it: indexes, queue, inputs.

The derived data is not journaled. A new owner rebuilds it from the tables, and
the senders repeat their inputs.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from radishlift.config.document import ConfigDocument
from radishlift.core.ids import (
    ConfigVersion,
    Incarnation,
    JobId,
    TaskId,
    TeamName,
    WorkerId,
)
from radishlift.placement.estimates import UsageEstimates
from radishlift.placement.fleet import FleetTotals
from radishlift.placement.health import FleetHealth
from radishlift.placement.job_queue import JobQueue
from radishlift.placement.jobs import (
    Resources,
    TaskState,
    UsageReport,
    WorkerInfo,
)
from radishlift.placement.learned_statistics import LearnedStatistics
from radishlift.placement.orders import Order, OrderKind
from radishlift.placement.reservation_state import ReservationState
from radishlift.placement.settings import PlacementSettings
from radishlift.placement.state import PartitionState
from radishlift.placement.worker_index import WorkerIndex


class EndedAttempt(NamedTuple):
    """An attempt that is confirmed ended."""

    task_id: str
    attempt: int
    state: TaskState


@dataclass(slots=True)
class Rules:
    """The configuration document and this partition's share of each quota.

    If `shares` is None, the partition may use the whole quotas.
    """

    document: ConfigDocument
    shares: Mapping[TeamName, tuple[int, int, int]] | None = None


@dataclass(frozen=True, slots=True)
class RefusedPart:
    """Members of a gang that exceed the team's quota share in this partition.

    A larger share is requested until `until_ms`, so that a later try to start
    the gang finds it.
    """

    team: TeamName
    demand: Resources
    tasks_count: int
    until_ms: int


class UsageTracking:
    """Usage estimates, and the orders already sent about running attempts."""

    def __init__(self, statistics: LearnedStatistics) -> None:
        self.estimates = UsageEstimates(statistics)
        self.next_record_ms = 0
        self.sent_orders: dict[TaskId, set[tuple[int, OrderKind]]] = {}


class Inputs:
    """Reports and requests that the next ticks process."""

    def __init__(self) -> None:
        self.cancellations: deque[JobId] = deque()
        self.stopped_parts: deque[JobId] = deque()
        self.refused_parts: dict[JobId, RefusedPart] = {}
        self.observed_workers: dict[WorkerId, WorkerInfo] = {}
        self.lost_workers: deque[tuple[WorkerId, Incarnation]] = deque()
        self.unreachable_workers: dict[WorkerId, Incarnation] = {}
        self.ended_attempts: deque[EndedAttempt] = deque()
        self.draining_workers: dict[WorkerId, bool] = {}
        self.usage_reports: dict[WorkerId, tuple[UsageReport, ...]] = {}


class EngineContext:
    """Indexes, queue and inputs of one engine.

    `state` has to be recovered before the context is built. `worker_index`
    has the free capacity of workers; `preemptible_index` adds what urgent
    work may preempt.
    """

    def __init__(
        self,
        state: PartitionState,
        settings: PlacementSettings,
    ) -> None:
        self.state = state
        self.tables = state.tables
        self.settings = settings
        self.inputs = Inputs()
        self.rules = Rules(ConfigDocument(ConfigVersion(0)))
        self.orders: list[Order] = []
        self.records: list[Any] = []
        self.worker_index = WorkerIndex(state.tables.workers)
        self.queue = JobQueue(state.tables.jobs)
        self.fleet = FleetTotals()
        self.preemptible_index = WorkerIndex(
            state.tables.workers,
            is_preemptible_free=True,
        )
        self.reservations = ReservationState()
        self.usage = UsageTracking(state.statistics)
        self.health = FleetHealth()
        self.health.restore(state.statistics.health, state.tables.workers)

    def queued_demand_mix(self) -> tuple[float, float]:
        """Returns the processor and memory demand of all queued tasks.

        The unit is the capacity of the largest worker in each dimension.
        """
        largest = self.fleet.largest
        queued = self.tables.queued_demand
        return (
            queued[0] / max(1, largest.cpu_milli),
            queued[1] / max(1, largest.memory_mb),
        )

    def emit(self, record: Any) -> None:
        """Applies a record and adds it to those that the tick returns."""
        self.state.apply(record)
        self.records.append(record)
        self.sync_workers()

    def sync_workers(self) -> None:
        """Updates the indexes with the workers that have changed."""
        changed = self.tables.changed_workers
        if not changed:
            return
        self.tables.changed_workers = {}
        for row in changed:
            self._sync_worker(row)

    def _sync_worker(self, row: int) -> None:
        workers = self.tables.workers
        self.worker_index.update(row)
        self.preemptible_index.update(row)
        self.fleet.update(workers, row)
        if workers.is_present[row] and workers.quarantine_reason[row]:
            self.health.quarantined[row] = None
        elif row in self.health.quarantined:
            del self.health.quarantined[row]


__all__ = ('EndedAttempt', 'EngineContext', 'Inputs', 'Rules')
