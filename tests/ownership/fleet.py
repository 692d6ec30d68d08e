"""Daemons that own partitions in one table service."""

import asyncio

from radishlift.config.document import ConfigDocument, Partition
from radishlift.core.clock import ManualClock
from radishlift.core.ids import ConfigVersion, DaemonId, PartitionId
from radishlift.membership.daemon_table import DaemonTable
from radishlift.membership.evidence import Evidence
from radishlift.ownership.api import OwnerClaim
from radishlift.ownership.directory import OwnerDirectory
from radishlift.ownership.fixed_homes import JobHomes
from radishlift.ownership.fleet_view import FleetView
from radishlift.ownership.manager import OwnershipManager
from radishlift.ownership.own_row import OwnRow
from radishlift.ownership.settings import OwnershipSettings
from tests.membership.fleet import member
from tests.standins.tables import MemoryTableStore


class Config:
    """A configuration with some partitions."""

    def __init__(self, count: int) -> None:
        partitions = {
            PartitionId(f'p{number}'): Partition(()) for number in range(count)
        }
        self.document = ConfigDocument(ConfigVersion(1), partitions=partitions)

    def current(self) -> ConfigDocument | None:
        return self.document


class Members:
    """A `MemberDirectory` with evidence from the table and from the test."""

    def __init__(self, table: DaemonTable) -> None:
        self.evidence = Evidence()
        self.suspected: set[DaemonId] = set()
        self._table = table
        table.subscribe(self.evidence.observe_scan)

    def members(self) -> tuple:
        return ()

    def is_suspected(self, daemon_id: DaemonId) -> bool:
        return daemon_id in self.suspected

    def is_dead(self, daemon_id, incarnation) -> bool:
        run = (daemon_id, incarnation)
        return self.evidence.is_dead(run, self._table.started_count)

    def has_ended(self, daemon_id, incarnation) -> bool:
        run = (daemon_id, incarnation)
        return self.evidence.has_ended(run, self._table.started_count)


class Daemon:
    """A daemon with its manager, and the manager's calls to its listener."""

    def __init__(
        self,
        name: str,
        tables: MemoryTableStore,
        clock: ManualClock,
        config: Config,
        incarnation: str = '1',
    ) -> None:
        self.store = MemoryTableStore(tables.tables)
        self.member = member(name, incarnation)
        self.daemon_id = self.member.daemon_id
        self.events: list[object] = []
        self.claims: dict[PartitionId, OwnerClaim] = {}
        settings = OwnershipSettings(start_wait_ms=0)
        self.own_row = OwnRow(self.store, clock, self.member)
        self.table = DaemonTable(self.store, clock)
        self.members = Members(self.table)
        self.homes = JobHomes(self.store, config)
        self.directory = OwnerDirectory(config, self.homes)
        view = FleetView(
            self.own_row, self.table, self.members, self.directory, settings
        )
        self.manager = OwnershipManager(self.store, clock, view, settings, self)

    async def on_acquired(self, claim: OwnerClaim) -> None:
        self.claims[claim.partition_id] = claim

    async def on_releasing(self, partition_id: PartitionId) -> None:
        self.events.append(('releasing', partition_id))

    async def on_lost(self, partition_id: PartitionId) -> None:
        self.events.append(('lost', partition_id))
        self.claims.pop(partition_id)

    async def on_replaced(self) -> None:
        self.events.append('replaced')

    async def run_once(self) -> None:
        """Renews and steps once; failures of the store have no effect."""
        await self.manager.renew()
        await self.manager.step()


class Fleet:
    """Some daemons with a common manual clock."""

    def __init__(self, partitions_count: int, *names: str) -> None:
        self.clock = ManualClock()
        self.store = MemoryTableStore()
        self.config = Config(partitions_count)
        self.daemons = [self.add(name) for name in names]

    def add(self, name: str, incarnation: str = '1') -> Daemon:
        return Daemon(name, self.store, self.clock, self.config, incarnation)

    async def run(self, duration_ms: int, *daemons: Daemon) -> None:
        """Runs the given daemons, or all, once a second in turn."""
        for _ in range(duration_ms // 1000):
            for daemon in daemons or self.daemons:
                await daemon.run_once()
            self.clock.advance(1000)

    async def balance(self) -> None:
        """Runs until all daemons have their shares, then clears the events."""
        await self.run(20_000)
        for daemon in self.daemons:
            daemon.events.clear()

    async def run_once_concurrently(self) -> None:
        """Runs all daemons once, concurrently."""
        await asyncio.gather(*[daemon.run_once() for daemon in self.daemons])

    def owned_counts(self) -> list[int]:
        return [len(daemon.claims) for daemon in self.daemons]

    def owner_rows(self) -> dict[str, str]:
        return {
            row.key: row.value['daemon_id']
            for row in self.store.tables.scan('owners', '', '', 500)
        }


__all__ = ('Daemon', 'Fleet')
