"""Directory of partition owners, as last read."""

from collections.abc import Collection

from radishlift.config.api import ConfigView
from radishlift.core.ids import DaemonId, PartitionId
from radishlift.ownership.fixed_homes import FixedHomes
from radishlift.ownership.owner_rows import StoredOwner, absent_owner


class OwnerDirectory:
    """A `PartitionDirectory` from the owner rows and the configuration.

    A partition removed from the configuration keeps its owner, because its
    journal may hold jobs that are not finished.
    """

    def __init__(self, config: ConfigView, homes: FixedHomes) -> None:
        self._config = config
        self._homes = homes
        self._owners: dict[PartitionId, StoredOwner] = {}

    def owner_of(self, partition_id: PartitionId) -> DaemonId | None:
        """Returns the owner as last read, or None if the partition is free."""
        stored = self._owners.get(partition_id)
        if stored is None or stored.row.is_free:
            return None
        return stored.row.daemon_id

    def home_of(self, key: str) -> PartitionId | None:
        """Returns the home partition of a job id or idempotency key.

        Returns None until the row that fixes the homes has been read.
        """
        return self._homes.home_of(key)

    def is_home(self, partition_id: PartitionId) -> bool:
        """Returns whether a partition is the home of job ids and keys."""
        return partition_id in self._homes.partitions

    def stored_owner(self, partition_id: PartitionId) -> StoredOwner:
        """Returns the owner row of a partition as last read."""
        return self._owners.get(partition_id) or absent_owner(partition_id)

    def holders(self) -> frozenset[DaemonId]:
        """Returns the daemons that own partitions."""
        return frozenset(
            stored.row.daemon_id
            for stored in self._owners.values()
            if not stored.row.is_free
        )

    def partitions(self) -> tuple[PartitionId, ...]:
        """Returns the partitions that need an owner."""
        known = {*self._configured(), *self._owners, *self._homes.partitions}
        return tuple(sorted(known))

    def replace(self, owners: dict[PartitionId, StoredOwner]) -> None:
        """Replaces all owner rows."""
        self._owners = dict(owners)

    def update(self, stored: StoredOwner) -> None:
        """Replaces one owner row after a write of this daemon."""
        self._owners[stored.partition_id] = stored

    def _configured(self) -> Collection[PartitionId]:
        document = self._config.current()
        return () if document is None else document.partitions.keys()


__all__ = ('OwnerDirectory',)
