"""The racks of one partition and the workers that it may use in them."""

from radishlift.core.ids import WorkerId
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.facts import WorkerFacts
from radishlift.partitions.log import PartitionLog
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.rack_drains import RackDrains
from radishlift.partitions.rack_keeper import RackKeeper
from radishlift.partitions.spread import WorkerAssignment
from radishlift.partitions.states import PartitionStates
from radishlift.placement.engine import PlacementEngine
from radishlift.workers.dispatcher import Dispatcher


class PartitionRacks:
    """Opens the workers of the racks that the journal holds, and only those.

    `keeper` takes and releases the racks.
    """

    def __init__(
        self,
        claim: OwnerClaim,
        parts: DaemonParts,
        states: PartitionStates,
        log: PartitionLog,
        engine: PlacementEngine,
        dispatcher: Dispatcher,
        facts: WorkerFacts,
    ) -> None:
        self._holdings = states.racks
        self._dispatcher = dispatcher
        self._facts = facts
        self._workers: WorkerAssignment | None = None
        self._has_foreign = True
        tables = states.placement.tables
        drains = RackDrains(
            claim.partition_id,
            engine.drains,
            tables,
            parts.settings.partitions,
            parts.clock,
        )
        self.keeper = RackKeeper(
            claim.partition_id,
            parts,
            states.racks,
            log,
            drains,
            self._use,
        )
        # A journal of an earlier version has workers but holds no racks.
        for worker_id, row in tables.workers.row_of.items():
            described = tables.workers.worker_info[row]
            if described.rack not in self._holdings.held:
                engine.observe_worker_loss(
                    worker_id,
                    described.incarnation,
                    may_run=True,
                )

    def assign(self, workers: WorkerAssignment) -> None:
        """Takes over the configuration and the host list."""
        self._workers = workers
        self.keeper.assign(workers)
        self._use()

    def drop_released(self) -> None:
        """Ends the polls of workers in racks that are not held.

        A worker with something to be told is dropped in a later call.
        """
        if not self._has_foreign or self._workers is None:
            return
        dropped = self._dispatcher.drop_workers_except(self._is_kept)
        self._has_foreign = dropped is None
        for worker_id in dropped or ():
            self._facts.drop(worker_id)

    def _use(self) -> None:
        """Takes over which racks are held."""
        if self._workers is None:
            return
        workers = self._workers.within(self._holdings.held)
        self._dispatcher.set_workers(workers.assigned, workers.listed)
        self._facts.assign(workers)
        self._has_foreign = True

    def _is_kept(self, worker_id: WorkerId) -> bool:
        if self._workers is None:
            return True
        rack = self._workers.rack_of.get(worker_id)
        return rack is None or rack in self._holdings.held


__all__ = ('PartitionRacks',)
