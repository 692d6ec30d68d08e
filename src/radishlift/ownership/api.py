"""Proof of ownership, and the listener that runs owned partitions."""

from dataclasses import dataclass
from typing import Final, Protocol

from radishlift.core.ids import Epoch, PartitionId
from radishlift.services.api import Condition

OWNERS_TABLE: Final = 'owners'


@dataclass(frozen=True, slots=True)
class OwnerClaim:
    """A claim that took effect: the owner row as this daemon wrote it.

    The row changes only at the next claim or release, so a write that is
    conditional on its version can't come from a previous owner.
    """

    partition_id: PartitionId
    epoch: Epoch
    owner_row_version: int

    @property
    def condition(self) -> Condition:
        """Returns the condition that the claim is still in force."""
        return Condition(
            OWNERS_TABLE,
            self.partition_id,
            self.owner_row_version,
        )


class OwnershipListener(Protocol):
    """Runs the partitions that this daemon owns.

    The manager awaits each call, so long work must run in a task. Only
    `on_releasing` may take as long as the partition needs to stop.
    """

    async def on_acquired(self, claim: OwnerClaim) -> None:
        """Starts a partition: recovers it and opens its journal."""

    async def on_releasing(self, partition_id: PartitionId) -> None:
        """Stops a partition; its owner row is released after this call."""

    async def on_lost(self, partition_id: PartitionId) -> None:
        """Drops a partition that was released or has another owner."""

    async def on_replaced(self) -> None:
        """Stops the daemon, because a newer incarnation of it runs."""


__all__ = ('OWNERS_TABLE', 'OwnerClaim', 'OwnershipListener')
