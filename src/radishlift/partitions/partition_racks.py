"""The racks of one partition and their workers that it may use."""

from radishlift.core.ids import WorkerId
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.partition_log import PartitionLog
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.rack_drains import RackDrains
from radishlift.partitions.rack_manager import RackManager
from radishlift.partitions.states import PartitionStates
from radishlift.partitions.worker_assignment import WorkerAssignment
from radishlift.partitions.worker_events import PartitionWorkerEvents
from radishlift.placement.engine import PlacementEngine
from radishlift.workers.dispatcher import Dispatcher


class PartitionRacks:
    """Opens only the workers of racks that the partition holds by its journal.

    `manager` takes and releases the racks.
    """

    def __init__(
        self,
        claim: OwnerClaim,
        parts: DaemonParts,
        states: PartitionStates,
        log: PartitionLog,
        engine: PlacementEngine,
        dispatcher: Dispatcher,
        worker_events: PartitionWorkerEvents,
    ) -> None:
        self._holdings = states.racks
        self._dispatcher = dispatcher
        self._worker_events = worker_events
        self._assignment: WorkerAssignment | None = None
        self._has_unheld_workers = True
        tables = states.placement.tables
        drains = RackDrains(
            claim.partition_id,
            engine.drains,
            tables,
            parts.settings.partitions,
            parts.clock,
        )
        self.manager = RackManager(
            claim.partition_id,
            parts,
            states.racks,
            log,
            drains,
            self._apply_held_racks,
        )
        # The journal of an earlier version has workers but no held racks.
        for worker_id, row in tables.workers.row_of.items():
            info = tables.workers.worker_info[row]
            if info.rack not in self._holdings.held:
                engine.observe_worker_loss(
                    worker_id,
                    info.incarnation,
                    may_run=True,
                )

    def set_assignment(self, assignment: WorkerAssignment) -> None:
        """Stores the configuration and the host list."""
        self._assignment = assignment
        self.manager.set_assignment(assignment)
        self._apply_held_racks()

    def drop_unheld_workers(self) -> None:
        """Ends the polls of workers in racks that are not held.

        A worker with messages still to be sent is dropped in a later call.
        """
        if not self._has_unheld_workers or self._assignment is None:
            return
        dropped = self._dispatcher.drop_workers_except(self._is_in_held_rack)
        self._has_unheld_workers = dropped is None
        for worker_id in dropped or ():
            self._worker_events.forget_worker(worker_id)

    def _apply_held_racks(self) -> None:
        """Applies the set of held racks to the dispatcher and the engine."""
        if self._assignment is None:
            return
        assignment = self._assignment.restrict_to(self._holdings.held)
        self._dispatcher.set_workers(assignment.assigned, assignment.listed)
        self._worker_events.set_assignment(assignment)
        self._has_unheld_workers = True

    def _is_in_held_rack(self, worker_id: WorkerId) -> bool:
        if self._assignment is None:
            return True
        rack = self._assignment.rack_of.get(worker_id)
        return rack is None or rack in self._holdings.held


__all__ = ('PartitionRacks',)
