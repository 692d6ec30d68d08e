"""Shared base of a daemon: identity, platform clients, peers, membership."""

from typing import Final
from uuid import uuid4

from aiohttp import ClientSession, DummyCookieJar

from radishlift.core.clock import BootClock, Clock
from radishlift.core.ids import Address, DaemonId, DataCentreId, Incarnation
from radishlift.core.levels import level_to_announce
from radishlift.daemon.hosts import HostFeed
from radishlift.daemon.leaving_hosts import LeavingHostsExchange
from radishlift.membership.api import Member
from radishlift.membership.daemon_table import DaemonTable
from radishlift.membership.membership import Membership, parse_seed_peers
from radishlift.membership.settings import MembershipSettings
from radishlift.ownership.own_row import OwnRow
from radishlift.services.http import (
    HttpHostList,
    HttpObjectStore,
    HttpTableStore,
    PlatformClient,
)
from radishlift.settings.daemon import DaemonSettings, PlatformSettings
from radishlift.settings.loader import Settings
from radishlift.wire.network import PeerNetwork
from radishlift.wire.tls import TlsSettings, load_tls

_INCARNATION_LENGTH: Final = 16


class DaemonContext:
    """Identity and clients of one daemon; requires a running event loop."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock: Clock = BootClock()
        daemon = settings.get(DaemonSettings)
        self.member = _build_member(daemon)
        self.network = PeerNetwork(
            self.member.daemon_id,
            daemon.peer_secret,
            self.member.format_level,
            load_tls(settings.get(TlsSettings)),
        )
        platform = settings.get(PlatformSettings)
        self.session = ClientSession(cookie_jar=DummyCookieJar())
        self.store = HttpTableStore(
            self._platform_client(platform.table_address, platform),
        )
        self.object_store = HttpObjectStore(
            self._platform_client(platform.object_address, platform),
        )
        self.host_list = HttpHostList(
            self._platform_client(platform.host_list_address, platform),
        )
        self.hosts = HostFeed(self.host_list, platform, self.clock)
        self.leaving_hosts = LeavingHostsExchange(
            self.hosts,
            self.network,
            self.clock,
            platform,
        )
        self.own_row = OwnRow(self.store, self.clock, self.member)
        self.table = DaemonTable(self.store, self.clock)
        self.membership = Membership(
            self.member,
            self.network,
            self.table,
            self.clock,
            settings.get(MembershipSettings),
            parse_seed_peers(daemon.seed_peers),
        )
        self.hosts.subscribe(self.membership.observe_hosts)

    async def start(self) -> None:
        """Listens for peers.

        Must run before the daemon's row is written: peers take a refused
        connection at the address in the row as evidence that it is dead.
        """
        listen = self.settings.get(DaemonSettings).peer_listen
        await self.network.start(Address(listen))

    async def stop(self) -> None:
        """Closes the peer streams and the HTTP session."""
        await self.network.stop()
        await self.session.close()

    def _platform_client(
        self,
        address: str,
        platform: PlatformSettings,
    ) -> PlatformClient:
        return PlatformClient(
            self.session,
            Address(address),
            platform.timeout_ms,
        )


def _build_member(daemon: DaemonSettings) -> Member:
    return Member(
        DaemonId(daemon.daemon_id),
        Incarnation(uuid4().hex[:_INCARNATION_LENGTH]),
        Address(daemon.listen),
        Address(daemon.peer_advertise or daemon.peer_listen),
        DataCentreId(daemon.data_centre),
        daemon.region,
        level_to_announce(daemon.max_format_level),
    )


__all__ = ('DaemonContext',)
