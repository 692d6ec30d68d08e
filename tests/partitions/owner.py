"""A daemon of a test cell, which owns partitions."""

import asyncio
from dataclasses import dataclass, field

from radishlift.config.document import ConfigDocument
from radishlift.core.codec import dump_plain
from radishlift.core.ids import (
    DaemonId,
    Epoch,
    Incarnation,
    JobId,
    PartitionId,
)
from radishlift.ownership.api import OWNERS_TABLE, OwnerClaim
from radishlift.ownership.owner_rows import OwnerRow
from radishlift.partitions.gang_coordinator import GangCoordinator
from radishlift.partitions.hand_offs import HandOffSender
from radishlift.partitions.homes import OwnerLookup
from radishlift.partitions.job_queries import status
from radishlift.partitions.job_router import JobRouter
from radishlift.partitions.messages import JobStatus
from radishlift.partitions.open_partition import OpenPartition
from radishlift.partitions.partitions import Partitions
from radishlift.partitions.parts import DaemonParts
from radishlift.placement.jobs import TaskState
from radishlift.services.api import Transaction, Write
from tests.standins.conditions import until
from tests.standins.tables import MemoryTableStore

PARTITION = PartitionId('p1')


@dataclass
class Members:
    """A `MemberDirectory` whose dead and suspected members the test sets.

    Connections to `refused` members are refused, which makes them dead.
    """

    dead: set[tuple[str, str]] = field(default_factory=set)
    refused: set[tuple[str, str]] = field(default_factory=set)
    suspected: set[DaemonId] = field(default_factory=set)

    def members(self) -> tuple[()]:
        return ()

    def is_suspected(self, daemon_id: DaemonId) -> bool:
        return daemon_id in self.suspected

    def is_dead(self, daemon_id: DaemonId, incarnation: Incarnation) -> bool:
        return (daemon_id, incarnation) in self.dead | self.refused

    def has_ended(self, daemon_id: DaemonId, incarnation: Incarnation) -> bool:
        return (daemon_id, incarnation) in self.dead


@dataclass
class Config:
    """A `ConfigView` of a document that the test sets."""

    document: ConfigDocument

    def current(self) -> ConfigDocument:
        return self.document


@dataclass
class Owner:
    """A daemon with its partitions; a test can cancel `loop` to pause it."""

    name: str
    store: MemoryTableStore
    parts: DaemonParts
    partitions: Partitions
    loop: asyncio.Task[None]
    router: JobRouter
    hand_off_sender: HandOffSender
    gang_coordinator: GangCoordinator
    config: Config
    lookup: OwnerLookup
    loops: list[asyncio.Task[None]] = field(default_factory=list)

    def partition(self, partition_id: PartitionId = PARTITION) -> OpenPartition:
        """Returns the recovered partition."""
        runner = self.partitions.get(partition_id)
        assert runner is not None
        assert runner.partition is not None
        return runner.partition

    async def claim(self, partition_id: PartitionId = PARTITION) -> None:
        """Claims a partition and waits until it is recovered."""
        await self.partitions.on_acquired(self.write_claim(partition_id))
        await until(lambda: self.partitions.get(partition_id))

    def write_claim(self, partition_id: PartitionId) -> OwnerClaim:
        """Writes the owner row with the next epoch."""
        before = self.store.tables.read(OWNERS_TABLE, partition_id).value
        epoch = Epoch(1 if before is None else before['epoch'] + 1)
        row = OwnerRow(self.parts.daemon_id, self.parts.incarnation, epoch)
        write = Write(OWNERS_TABLE, partition_id, dump_plain(row))
        committed = self.store.tables.commit(Transaction((), (write,)))
        return OwnerClaim(partition_id, epoch, committed.versions[0])

    def counts(self, job_id: str = 'j1') -> dict[TaskState, int]:
        """Counts the tasks of a job of the first partition by state."""
        job_status = status(self.partition(), JobId(job_id))
        assert isinstance(job_status, JobStatus)
        return job_status.task_counts

    async def kill(self) -> None:
        """Stops all work at once, as a crash of the process does."""
        self.loop.cancel()
        for loop in self.loops:
            loop.cancel()
        await asyncio.gather(*self.loops, return_exceptions=True)
        await self.partitions.on_replaced()
        await self.parts.network.stop()


__all__ = ('PARTITION', 'Config', 'Members', 'Owner')
