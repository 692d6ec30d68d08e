"""Homes of keys while a configuration document is distributed."""

from dataclasses import dataclass, field

from radishlift.config.document import ConfigDocument, Partition
from radishlift.core.ids import (
    ConfigVersion,
    DaemonId,
    Epoch,
    Incarnation,
    PartitionId,
)
from radishlift.ownership.directory import OwnerDirectory
from radishlift.ownership.fixed_homes import JobHomes
from radishlift.ownership.owner_rows import OwnerRow, SeenOwner
from radishlift.ownership.spreading import home_partition
from tests.requests.daemons import FakePartition
from tests.standins.tables import MemoryTableStore


def make_document(version: int, *names: str) -> ConfigDocument:
    """Makes a document with these partitions, each with one rack."""
    return ConfigDocument(
        ConfigVersion(version),
        partitions={PartitionId(name): Partition((name,)) for name in names},
    )


@dataclass
class DaemonConfig:
    """The configuration document of one daemon."""

    document: ConfigDocument | None

    def current(self):
        return self.document


class HomesOfDocument(JobHomes):
    """Homes by a hash over the current document, which is unsafe.

    Daemons with different documents choose different homes for a key.
    """

    def home_of(self, key):
        return home_partition(key, self._config.current().partitions)


@dataclass
class ChangingPartitions:
    """Partitions and their owners; each daemon has its own document."""

    document: ConfigDocument
    owned: dict[PartitionId, tuple[DaemonId, FakePartition]] = field(
        default_factory=dict
    )
    homes_type: type[JobHomes] = JobHomes
    configs: dict[DaemonId, DaemonConfig] = field(default_factory=dict)
    directories: dict[DaemonId, OwnerDirectory] = field(default_factory=dict)
    homes: dict[DaemonId, JobHomes] = field(default_factory=dict)
    store: MemoryTableStore = field(default_factory=MemoryTableStore)

    def move_to(self, _owner: str) -> None:
        """Does nothing: `assign` sets the owner of each partition."""

    def assign(self, name: str, owner: str) -> None:
        """Assigns a partition to a daemon and updates all directories."""
        partition_id = PartitionId(name)
        current = {'epoch': 1}
        self.owned[partition_id] = (
            DaemonId(owner),
            FakePartition([], 1, current, partition_id),
        )
        for directory in self.directories.values():
            directory.update(self._owner_of(partition_id))

    def get(self, daemon_id: DaemonId, partition_id: PartitionId):
        owner, partition = self.owned[partition_id]
        return partition if owner == daemon_id else None

    def directory_of(self, daemon_id: DaemonId) -> OwnerDirectory:
        config = DaemonConfig(self.document)
        self.configs[daemon_id] = config
        homes = self.homes_type(self.store, config)
        self.homes[daemon_id] = homes
        directory = OwnerDirectory(config, homes)
        self.directories[daemon_id] = directory
        for partition_id in self.owned:
            directory.update(self._owner_of(partition_id))
        return directory

    def _owner_of(self, partition_id: PartitionId) -> SeenOwner:
        owner, _ = self.owned[partition_id]
        row = OwnerRow(owner, Incarnation('1'), Epoch(1))
        return SeenOwner(partition_id, 1, row)


__all__ = (
    'ChangingPartitions',
    'HomesOfDocument',
    'DaemonConfig',
    'make_document',
)
