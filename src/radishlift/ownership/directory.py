"""Who owns which partition, as last read."""

from collections.abc import Collection

from radishlift.config.api import ConfigView
from radishlift.core.ids import DaemonId, PartitionId
from radishlift.ownership.fixed_homes import FixedHomes
from radishlift.ownership.owner_rows import SeenOwner, unclaimed


class OwnerDirectory:
    """A `PartitionDirectory` over the owner rows and the configuration.

    A partition that left the configuration keeps its owner, because its
    journal may hold jobs that are not finished.
    """

    def __init__(self, config: ConfigView, homes: FixedHomes) -> None:
        self._config = config
        self._homes = homes
        self._owners: dict[PartitionId, SeenOwner] = {}

    def owner_of(self, partition_id: PartitionId) -> DaemonId | None:
        """Returns the owner of a partition; it may be outdated."""
        seen = self._owners.get(partition_id)
        if seen is None or seen.row.is_free:
            return None
        return seen.row.daemon_id

    def home_of(self, key: str) -> PartitionId | None:
        """Returns the home partition of a job id or idempotency key.

        There is none until the row that fixes the homes is known.
        """
        return self._homes.home_of(key)

    def is_home(self, partition_id: PartitionId) -> bool:
        """Tells whether ids and keys may be at home in a partition."""
        return partition_id in self._homes.partitions

    def seen(self, partition_id: PartitionId) -> SeenOwner:
        """Returns the owner row of a partition as last read."""
        return self._owners.get(partition_id) or unclaimed(partition_id)

    def holders(self) -> frozenset[DaemonId]:
        """Lists the daemons that own partitions."""
        return frozenset(
            seen.row.daemon_id
            for seen in self._owners.values()
            if not seen.row.is_free
        )

    def partitions(self) -> tuple[PartitionId, ...]:
        """Lists the partitions that need an owner."""
        known = {*self._configured(), *self._owners, *self._homes.partitions}
        return tuple(sorted(known))

    def replace(self, owners: dict[PartitionId, SeenOwner]) -> None:
        """Replaces what was read."""
        self._owners = dict(owners)

    def update(self, seen: SeenOwner) -> None:
        """Notes the row after a write of this daemon."""
        self._owners[seen.partition_id] = seen

    def _configured(self) -> Collection[PartitionId]:
        document = self._config.current()
        return () if document is None else document.partitions.keys()


__all__ = ('OwnerDirectory',)
