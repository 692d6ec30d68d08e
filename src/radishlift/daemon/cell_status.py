"""State of the cell for the console, as this daemon knows it."""

from radishlift.console.status import CellStatus, PartitionStatus
from radishlift.core.errors import Failure
from radishlift.core.ids import PartitionId
from radishlift.daemon.control import Control


class ControlStatus:
    """A `StatusProvider` over the directory and the owned partitions."""

    def __init__(self, control: Control) -> None:
        self._control = control

    async def cell_status(self) -> CellStatus | Failure:
        """Lists partitions with their owners; numbers of those owned here."""
        return CellStatus(
            partitions=tuple(
                self._partition(partition_id)
                for partition_id in self._control.directory.partitions()
            ),
        )

    def _partition(self, partition_id: PartitionId) -> PartitionStatus:
        owner = self._control.directory.owner_of(partition_id)
        runner = self._control.partitions.get(partition_id)
        workers_count = 0
        if runner is not None and runner.opened is not None:
            tables = runner.opened.states.placement.tables
            workers_count = sum(tables.workers.is_present)
        return PartitionStatus(partition_id, owner, workers_count, 0)


__all__ = ('ControlStatus',)
