"""Ends what runs on the racks that one partition has to give up."""

from dataclasses import dataclass

from radishlift.core.clock import Clock
from radishlift.core.ids import PartitionId, RackId, WorkerId
from radishlift.core.logs import log_event
from radishlift.partitions.settings import PartitionSettings
from radishlift.partitions.spread import WorkerAssignment
from radishlift.placement.drains import EngineDrains
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.records import WorkerRemoved


@dataclass(slots=True)
class _Drain:
    begin_ms: int
    saving_from_ms: int | None = None
    is_stopping: bool = False


class RackDrains:
    """Draining racks of one partition, by the daemon's monotonic clock.

    A successor begins a drain anew, as clocks are not compared between hosts.
    """

    def __init__(
        self,
        partition_id: PartitionId,
        engine: EngineDrains,
        tables: PartitionTables,
        settings: PartitionSettings,
        clock: Clock,
    ) -> None:
        self._partition_id = partition_id
        self._engine = engine
        self._tables = tables
        self._settings = settings
        self._clock = clock
        self._drains: dict[RackId, _Drain] = {}

    def is_vacant(self, rack: RackId, workers: WorkerAssignment) -> bool:
        """Tells whether no attempt of this partition can run on a rack."""
        return not self._count_attempts(self._workers_of(rack, workers))

    def drain(self, rack: RackId, workers: WorkerAssignment) -> bool:
        """Goes on with the drain of a rack.

        Tells whether the engine has new work.
        """
        worker_ids = self._workers_of(rack, workers)
        now_ms = self._clock.monotonic_ms()
        drain = self._drains.get(rack)
        if drain is None:
            drain = _Drain(now_ms)
            self._drains[rack] = drain
            log_event(
                'rack_draining',
                rack=rack,
                partition=self._partition_id,
                attempts=self._count_attempts(worker_ids),
            )
        if now_ms - drain.begin_ms < self._settings.rack_drain_ms:
            return False
        if drain.saving_from_ms is None:
            # Counted from here: a late tick must not cost the checkpoint.
            drain.saving_from_ms = now_ms
        saving_ms = now_ms - drain.saving_from_ms
        is_stopped = saving_ms >= self._settings.rack_checkpoint_ms
        if is_stopped and not drain.is_stopping:
            drain.is_stopping = True
            log_event(
                'rack_drain_stops',
                rack=rack,
                partition=self._partition_id,
                attempts=self._count_attempts(worker_ids),
            )
        # Repeated, because a part of a gang may be committed late.
        self._engine.vacate(worker_ids, is_stopped=is_stopped)
        return True

    def remove_workers(
        self,
        rack: RackId,
        workers: WorkerAssignment,
    ) -> list[WorkerRemoved]:
        """Removes the workers of a vacant rack; returns applied records."""
        return self._engine.remove(self._workers_of(rack, workers))

    def end(self, rack: RackId) -> None:
        """Ends a drain: the rack was released or stays here."""
        if self._drains.pop(rack, None) is not None:
            log_event(
                'rack_drain_ended',
                rack=rack,
                partition=self._partition_id,
            )

    def _workers_of(
        self,
        rack: RackId,
        workers: WorkerAssignment,
    ) -> list[WorkerId]:
        """Lists the workers of a rack that the tables know.

        A worker that the host list has dropped or moved to another rack
        counts where it said that it stands, as its attempts may run there.
        """
        table = self._tables.workers
        return [
            worker_id
            for worker_id, row in table.row_of.items()
            if rack
            in {table.worker_info[row].rack, workers.rack_of.get(worker_id)}
        ]

    def _count_attempts(self, worker_ids: list[WorkerId]) -> int:
        """Counts attempts that may run and reservations for gangs."""
        workers = self._tables.workers
        rows = [workers.row_of[worker_id] for worker_id in worker_ids]
        return sum(
            len(workers.task_rows[row]) + workers.holds_count[row]
            for row in rows
        )


__all__ = ('RackDrains',)
