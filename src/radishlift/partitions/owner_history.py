"""Journaled history of the owners that may hold leases at workers.

An owner sends nothing to a worker before its `PartitionOwned` record is
durable. The journal therefore names every daemon that may ever have renewed a
lease of the partition; `radishlift.workers.leases` relies on that.
"""

from dataclasses import dataclass
from typing import Any, ClassVar

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId, Epoch, Incarnation
from radishlift.journal.records import record


@record('partition_owned')
@dataclass(frozen=True, slots=True)
class PartitionOwned:
    """A daemon may send to workers from now on, with leases of this length."""

    epoch: Epoch
    daemon_id: DaemonId
    incarnation: Incarnation
    lease_ms: int


@record('owner_stopped')
@dataclass(frozen=True, slots=True)
class OwnerStopped:
    """The owner of an epoch has sent its last message to a worker."""

    epoch: Epoch


@record('owner_lapsed')
@dataclass(frozen=True, slots=True)
class OwnerLapsed:
    """All leases of the owner of an epoch are confirmed expired."""

    epoch: Epoch


class OwnerHistory:
    """Owners whose leases may still be in force, by epoch."""

    record_types: ClassVar[tuple[type, ...]] = (
        PartitionOwned,
        OwnerStopped,
        OwnerLapsed,
    )

    def __init__(self) -> None:
        self.owners: dict[Epoch, PartitionOwned] = {}
        self.stopped: set[Epoch] = set()

    def apply(self, change: Any) -> None:
        """Applies one record."""
        match change:
            case PartitionOwned():
                self.owners[change.epoch] = change
            case OwnerStopped():
                self.stopped.add(change.epoch)
            case OwnerLapsed():
                self.owners.pop(change.epoch, None)
                self.stopped.discard(change.epoch)

    def has_previous_owner(self, epoch: Epoch) -> bool:
        """Returns whether leases of an earlier owner may be in force."""
        return any(owner_epoch < epoch for owner_epoch in self.owners)

    def dump(self) -> Any:
        """Returns the state as plain data for a snapshot."""
        return {
            'owners': [dump_plain(owned) for owned in self.owners.values()],
            'stopped': sorted(self.stopped),
        }

    def load(self, plain: Any) -> None:
        """Replaces the state with that of a snapshot."""
        self.owners = {}
        for stored in plain['owners']:
            owned = read_plain(stored, PartitionOwned)
            if isinstance(owned, Failure):
                raise ValueError(owned.reason)
            self.owners[owned.epoch] = owned
        self.stopped = {Epoch(epoch) for epoch in plain['stopped']}


__all__ = ('OwnerHistory', 'OwnerLapsed', 'OwnerStopped', 'PartitionOwned')
