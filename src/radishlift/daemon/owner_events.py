"""Forwards ownership changes to the partitions of a daemon."""

from collections.abc import Callable

from radishlift.core.ids import PartitionId
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.partitions import Partitions


class PartitionOwnershipListener:
    """Forwards ownership changes, and stops the daemon once it is replaced."""

    def __init__(
        self,
        partitions: Partitions,
        stop_daemon: Callable[[], None],
    ) -> None:
        self._partitions = partitions
        self._stop_daemon = stop_daemon

    async def on_acquired(self, claim: OwnerClaim) -> None:
        """Starts the claimed partition."""
        await self._partitions.on_acquired(claim)

    async def on_releasing(self, partition_id: PartitionId) -> None:
        """Ends the work on a partition before its ownership is released."""
        await self._partitions.on_releasing(partition_id)

    async def on_lost(self, partition_id: PartitionId) -> None:
        """Drops a partition whose ownership is lost."""
        await self._partitions.on_lost(partition_id)

    async def on_replaced(self) -> None:
        """Drops all partitions and stops, since a newer incarnation runs."""
        await self._partitions.on_replaced()
        self._stop_daemon()


__all__ = ('PartitionOwnershipListener',)
