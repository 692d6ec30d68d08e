"""Passes changes of ownership on to the partitions of a daemon."""

from collections.abc import Callable

from radishlift.core.ids import PartitionId
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.partitions import Partitions


class PartitionOwnershipListener:
    """Passes ownership on to the partitions, and stops a replaced daemon."""

    def __init__(
        self,
        partitions: Partitions,
        stop_daemon: Callable[[], None],
    ) -> None:
        self._partitions = partitions
        self._stop_daemon = stop_daemon

    async def on_acquired(self, claim: OwnerClaim) -> None:
        """Starts a partition."""
        await self._partitions.on_acquired(claim)

    async def on_releasing(self, partition_id: PartitionId) -> None:
        """Ends the work on a partition that is given up."""
        await self._partitions.on_releasing(partition_id)

    async def on_lost(self, partition_id: PartitionId) -> None:
        """Drops a partition."""
        await self._partitions.on_lost(partition_id)

    async def on_replaced(self) -> None:
        """Drops everything and stops: a newer incarnation runs."""
        await self._partitions.on_replaced()
        self._stop_daemon()


__all__ = ('PartitionOwnershipListener',)
