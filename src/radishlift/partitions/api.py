"""Interfaces to owned partitions, for modules that keep state in them."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId, Epoch, PartitionId

State = TypeVar('State')


class OwnedPartition(Protocol):
    """A partition that this daemon owns and has recovered."""

    partition_id: PartitionId
    epoch: Epoch

    def state(self, state_type: type[State]) -> State:
        """Returns the journaled state of a type, such as the task tables."""

    async def commit(
        self,
        records: Sequence[object],
        timeout_ms: int,
    ) -> Failure | None:
        """Applies records to the state and waits until they are journaled.

        Fails with `store_unavailable` or `not_owner` if the last record is
        confirmed not to be journaled and has no effect. Fails with
        `store_outcome_unknown` if that is not known within the timeout; the
        journal then continues to resolve the outcome.
        """


class OwnedPartitions(Protocol):
    """The partitions that this daemon owns."""

    def get(self, partition_id: PartitionId) -> OwnedPartition | None:
        """Returns a partition if it is owned here and recovered."""


class PartitionDirectory(Protocol):
    """Owners and homes as last read; they may be outdated."""

    def owner_of(self, partition_id: PartitionId) -> DaemonId | None:
        """Returns the owner of a partition."""

    def home_of(self, key: str) -> PartitionId | None:
        """Returns the home partition of a job id or idempotency key."""


__all__ = ('OwnedPartition', 'OwnedPartitions', 'PartitionDirectory')
