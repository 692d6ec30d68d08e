"""Ownership states of the partitions of this daemon."""

from collections.abc import Callable
from enum import Enum, unique
from typing import Final

from transitions import Machine

from radishlift.core.ids import PartitionId
from radishlift.core.logs import log_event
from radishlift.ownership.api import OwnerClaim, OwnershipListener


@unique
class OwnershipState(Enum):
    """Ownership of a partition by this daemon."""

    unowned = 'unowned'
    claiming = 'claiming'
    owned = 'owned'
    releasing = 'releasing'


_TRANSITIONS: Final = (
    ('claim', 'unowned', 'claiming'),
    ('acquire', 'claiming', 'owned'),
    ('fail_claim', 'claiming', 'unowned'),
    ('release', 'owned', 'releasing'),
    ('lose', ['owned', 'releasing'], 'unowned'),
)


class Holding:
    """A partition with its ownership state.

    `owner_claim` is set while the partition is owned or releasing.
    """

    state: OwnershipState
    trigger: Callable[[str], bool]

    def __init__(self, partition_id: PartitionId) -> None:
        self.partition_id = partition_id
        self.owner_claim: OwnerClaim | None = None


class Holdings:
    """Changes the states of partitions and notifies the listener."""

    def __init__(self, listener: OwnershipListener) -> None:
        self._listener = listener
        self._holdings: dict[PartitionId, Holding] = {}
        self._machine = Machine(
            model=None,
            states=OwnershipState,
            transitions=[list(move) for move in _TRANSITIONS],
            initial=OwnershipState.unowned,
            auto_transitions=False,
        )

    def get(self, partition_id: PartitionId) -> Holding:
        """Returns a partition; an unknown one is added as unowned."""
        holding = self._holdings.get(partition_id)
        if holding is None:
            holding = Holding(partition_id)
            self._machine.add_model(holding)
            self._holdings[partition_id] = holding
        return holding

    def in_state(self, state: OwnershipState) -> tuple[PartitionId, ...]:
        """Returns the ids of the partitions in a state, sorted."""
        return tuple(
            sorted(
                partition_id
                for partition_id, holding in self._holdings.items()
                if holding.state is state
            )
        )

    def held_claims(self) -> dict[PartitionId, OwnerClaim]:
        """Returns the claims of all partitions owned or being released."""
        return {
            partition_id: holding.owner_claim
            for partition_id, holding in self._holdings.items()
            if holding.owner_claim is not None
        }

    async def acquire(self, claim: OwnerClaim) -> None:
        """Marks a partition as owned and starts it."""
        holding = self.get(claim.partition_id)
        holding.trigger('acquire')
        holding.owner_claim = claim
        log_event(
            'partition_acquired',
            partition=claim.partition_id,
            epoch=claim.epoch,
        )
        await self._listener.on_acquired(claim)

    async def start_release(self, partition_id: PartitionId) -> None:
        """Stops a partition before its owner row is released."""
        self.get(partition_id).trigger('release')
        await self._listener.on_releasing(partition_id)

    async def lose(self, partition_id: PartitionId) -> None:
        """Marks a partition as unowned and drops it."""
        holding = self.get(partition_id)
        holding.trigger('lose')
        holding.owner_claim = None
        log_event('partition_lost', partition=partition_id)
        await self._listener.on_lost(partition_id)


__all__ = ('Holding', 'Holdings', 'OwnershipState')
