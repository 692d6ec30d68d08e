"""The proof of ownership, and what a manager of ownership calls."""

from dataclasses import dataclass
from typing import Final, Protocol

from radishlift.core.ids import Epoch, PartitionId
from radishlift.services.api import Condition

OWNERS_TABLE: Final = 'owners'


@dataclass(frozen=True, slots=True)
class OwnerClaim:
    """A claim that took effect: the owner row as this daemon wrote it.

    The row changes only at the next claim or release, so a write that is
    conditional on its version can't come from a deposed owner.
    """

    partition_id: PartitionId
    epoch: Epoch
    owner_row_version: int

    @property
    def condition(self) -> Condition:
        """Requires that the claim is still in force."""
        return Condition(
            OWNERS_TABLE,
            self.partition_id,
            self.owner_row_version,
        )


class OwnershipListener(Protocol):
    """Runs the partitions that this daemon owns.

    The manager waits for each call, so long work belongs in a task; only
    `on_releasing` may take as long as the runner needs to stop.
    """

    async def on_acquired(self, claim: OwnerClaim) -> None:
        """Starts a partition: recovers it and opens its journal."""

    async def on_releasing(self, partition_id: PartitionId) -> None:
        """Stops a partition whose owner row is given up after this call."""

    async def on_lost(self, partition_id: PartitionId) -> None:
        """Drops a partition that is released or has another owner."""

    async def on_replaced(self) -> None:
        """Stops the daemon: a newer incarnation of it runs."""


__all__ = ('OWNERS_TABLE', 'OwnerClaim', 'OwnershipListener')
