"""Homes of idempotency keys for a benchmark node.

Each node owns one partition, with its journal on the table service. The owners
do not change, so partitions are not taken over.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from radishlift.config.api import ConfigView
from radishlift.core.clock import Clock
from radishlift.core.codec import dump_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId, Epoch, Incarnation, PartitionId
from radishlift.journal.budget import FlushScheduler
from radishlift.journal.rows import JOURNAL_TABLE
from radishlift.membership.api import MemberDirectory
from radishlift.ownership.api import OWNERS_TABLE, OwnerClaim
from radishlift.ownership.owner_rows import OwnerRow
from radishlift.ownership.rendezvous import home_partition
from radishlift.partitions.partitions import Partitions
from radishlift.partitions.parts import DaemonParts, PartitionSettingsSet
from radishlift.requests.idempotency import IdempotencyTable
from radishlift.services.api import (
    Committed,
    Conflict,
    Transaction,
    Write,
)
from radishlift.services.http import HttpObjectStore, HttpTableStore
from radishlift.wire.network import PeerNetwork
from radishlift.workers.client import WorkerClient
from tests.standins.knowledge import unexpiring_host_knowledge

_RECOVERY_TIMEOUT_S = 10
_INCARNATION = Incarnation('1')


class CountingStore(HttpTableStore):
    """Counts the journal rows that are written."""

    rows_count = 0

    async def commit(
        self, transaction: Transaction
    ) -> Committed | Conflict | Failure:
        """Applies a transaction."""
        outcome = await super().commit(transaction)
        if isinstance(outcome, Committed):
            self.rows_count += sum(
                write.table == JOURNAL_TABLE and write.value is not None
                for write in transaction.writes
            )
        return outcome


@dataclass(frozen=True, slots=True)
class HomeParts:
    """Dependencies of the partition of a node."""

    store: CountingStore
    object_store: HttpObjectStore
    clock: Clock
    members: MemberDirectory
    network: PeerNetwork
    config: ConfigView


class NodeHomes:
    """The partition of this node, and the owners of all partitions."""

    def __init__(self, parts: HomeParts, peers: Iterable[str]) -> None:
        self._store = parts.store
        self._own_id = parts.network.daemon_id
        self._owners = {
            PartitionId(f'p-{name}'): DaemonId(name) for name in peers
        }
        settings = PartitionSettingsSet()
        daemon_parts = DaemonParts(
            self._own_id,
            _INCARNATION,
            parts.store,
            parts.object_store,
            WorkerClient(settings.workers, unexpiring_host_knowledge()),
            parts.clock,
            parts.members,
            parts.network,
            FlushScheduler(parts.clock, settings.journal),
            settings,
            state_factories=(IdempotencyTable,),
        )
        self._partitions = Partitions(daemon_parts, parts.config)
        self._loop: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Claims the partition of this node and waits until it is recovered."""
        partition_id = PartitionId(f'p-{self._own_id}')
        row = OwnerRow(self._own_id, _INCARNATION, Epoch(1))
        write = Write(OWNERS_TABLE, partition_id, dump_plain(row))
        committed = await self._store.commit(Transaction((), (write,)))
        if not isinstance(committed, Committed):
            raise TypeError(f'the owner row was not written: {committed}')
        self._loop = asyncio.create_task(self._partitions.run_forever())
        claim = OwnerClaim(partition_id, Epoch(1), committed.versions[0])
        await self._partitions.on_acquired(claim)
        async with asyncio.timeout(_RECOVERY_TIMEOUT_S):
            while self.get(partition_id) is None:
                await asyncio.sleep(0.01)

    def get(self, partition_id: PartitionId) -> Any:
        """Returns the partition of this node; None until it is recovered."""
        return self._partitions.get(partition_id)

    def owner_of(self, partition_id: PartitionId) -> DaemonId | None:
        """Returns the owner of a partition."""
        return self._owners.get(partition_id)

    def home_of(self, key: str) -> PartitionId | None:
        """Returns the home partition of a key."""
        return home_partition(key, self._owners)


__all__ = ('CountingStore', 'HomeParts', 'NodeHomes')
