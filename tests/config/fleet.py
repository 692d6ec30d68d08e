"""A fleet of configuration distributors on loopback, with fault injection."""

import asyncio
from collections.abc import Callable
from typing import Any

from radishlift.config.changes import Change, ChangeResult
from radishlift.config.distributor import ConfigDistributor
from radishlift.config.settings import ConfigSettings
from radishlift.config.store import ConfigStore
from radishlift.core.clock import BootClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import (
    Address,
    ConfigVersion,
    DaemonId,
    DataCentreId,
    Incarnation,
)
from radishlift.membership.api import Member
from radishlift.wire.network import PeerNetwork
from tests.config.documents import TEXT
from tests.standins.tables import MemoryTableStore, Tables

SETTINGS = ConfigSettings(
    peer_timeout_ms=200, poll_interval_ms=50, push_grace_ms=10
)


class FakeDirectory:
    """Members of a fleet, and those confirmed dead."""

    def __init__(self) -> None:
        self.by_id: dict[DaemonId, Member] = {}
        self.dead: set[DaemonId] = set()

    def members(self) -> tuple[Member, ...]:
        return tuple(self.by_id.values())

    def is_suspected(self, daemon_id: DaemonId) -> bool:
        return False

    def is_dead(self, daemon_id: DaemonId, incarnation: Incarnation) -> bool:
        return daemon_id in self.dead


class FaultyNetwork(PeerNetwork):
    """A network that can be cut off from peers, or frozen like its process."""

    def __init__(self, daemon_id: DaemonId) -> None:
        super().__init__(daemon_id)
        self.unreachable_peers: set[DaemonId] = set()
        self.running = asyncio.Event()
        self.running.set()

    async def call(self, daemon_id, typed, timeout_ms) -> Any:
        if daemon_id in self.unreachable_peers:
            return Failure(ErrorKind.peer_outcome_unknown, 'cut')
        return await super().call(daemon_id, typed, timeout_ms)

    async def send(self, daemon_id, typed):
        if daemon_id in self.unreachable_peers:
            return Failure(ErrorKind.peer_unavailable, 'cut')
        return await super().send(daemon_id, typed)

    async def _dispatch(self, sender, typed):
        await self.running.wait()
        return await super()._dispatch(sender, typed)


class FleetDaemon:
    """One daemon: its own client of the tables, network and distributor."""

    def __init__(
        self,
        daemon_id: str,
        tables: Tables,
        directory: FakeDirectory,
        settings: ConfigSettings,
    ) -> None:
        self.daemon_id = DaemonId(daemon_id)
        self.rows = MemoryTableStore(tables)
        self.network = FaultyNetwork(self.daemon_id)
        clock = BootClock()
        store = ConfigStore(self.rows, settings, clock)
        self.distributor = ConfigDistributor(
            self.rows, store, self.network, directory, settings, clock
        )

    @property
    def version(self) -> int:
        document = self.distributor.current()
        return document.version if document else 0

    async def change(self, text: str, base: int) -> ChangeResult:
        change = Change(text, ConfigVersion(base), 'ann', 'test')
        return await self.distributor.change(change)

    async def stop(self) -> None:
        await self.distributor.stop()
        await self.network.stop()


class TestFleet:
    """Daemons that are members of one cell."""

    __test__ = False

    def __init__(
        self,
        ports: Callable[[], int],
        settings: ConfigSettings = SETTINGS,
    ) -> None:
        self.tables = Tables()
        self.directory = FakeDirectory()
        self.daemons: list[FleetDaemon] = []
        self._ports = ports
        self._settings = settings
        self._addresses: dict[DaemonId, Address] = {}

    async def add(self, daemon_id: str) -> FleetDaemon:
        daemon = FleetDaemon(
            daemon_id, self.tables, self.directory, self._settings
        )
        address = Address(f'127.0.0.1:{self._ports()}')
        self._addresses[daemon.daemon_id] = address
        self.directory.by_id[daemon.daemon_id] = Member(
            daemon.daemon_id,
            Incarnation('1'),
            address,
            address,
            DataCentreId('dc'),
        )
        self.daemons.append(daemon)
        await daemon.network.start(address)
        for member in self.daemons:
            member.network.set_peers(self._addresses)
        return daemon

    async def remove(self, daemon: FleetDaemon) -> None:
        await daemon.stop()
        self.daemons.remove(daemon)

    def isolate(self, daemon: FleetDaemon) -> None:
        for other in self.daemons:
            other.network.unreachable_peers.add(daemon.daemon_id)
            daemon.network.unreachable_peers.add(other.daemon_id)

    async def poll(self) -> None:
        await asyncio.gather(
            *(
                daemon.distributor.poll()
                for daemon in self.daemons
                if daemon.network.running.is_set()
            )
        )

    async def poll_until(self, is_met: Callable[[], bool]) -> None:
        """Polls all daemons until a condition holds."""
        async with asyncio.timeout(20):
            while not is_met():
                await self.poll()
                await asyncio.sleep(0.01)

    async def wait_until(self, is_met: Callable[[], bool]) -> None:
        """Waits for a condition without polls, so that only pushes count."""
        async with asyncio.timeout(20):
            while True:
                if is_met():
                    return
                await asyncio.sleep(0.002)

    def all_have(self, version: int) -> bool:
        return all(daemon.version == version for daemon in self.daemons)

    def everywhere(self, version: int) -> list[bool]:
        return [
            daemon.distributor.status().everywhere_at_ms(ConfigVersion(version))
            is not None
            for daemon in self.daemons
        ]


def text_with_weight(weight: int) -> str:
    return TEXT.replace('share_weight = 2', f'share_weight = {weight}')
