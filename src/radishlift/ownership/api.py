"""The proof of ownership that conditional writes refer to."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import Epoch, PartitionId
from radishlift.platform.api import Condition

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


__all__ = ('OWNERS_TABLE', 'OwnerClaim')
