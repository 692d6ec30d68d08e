"""The members of the fleet as this daemon knows them."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import Address, DaemonId, Incarnation
from radishlift.core.registry import Registry
from radishlift.membership.api import Member
from radishlift.membership.daemon_table import DaemonScan, DaemonTable
from radishlift.membership.evidence import Evidence
from radishlift.membership.groups import heartbeat_group
from radishlift.membership.heartbeats import Heartbeat, HeartbeatMonitor
from radishlift.membership.member_table import MemberTable
from radishlift.membership.settings import MembershipSettings
from radishlift.membership.summaries import (
    Summary,
    SummaryCollector,
    SummaryProvider,
)
from radishlift.services.api import Host
from radishlift.wire.network import PeerNetwork, RefusedConnection

# Three intervals of renewing a `daemons` row; for members outside the group.
_SUSPECT_ROW_MS: Final = 6000


def parse_seed_peers(seeds: Iterable[str]) -> dict[DaemonId, Address]:
    """Parses seed peers `id=ip:port` of the settings."""
    pairs = (seed.partition('=') for seed in seeds)
    return {DaemonId(name): Address(address) for name, _, address in pairs}


class Membership:
    """A `MemberDirectory` from seeds, the `daemons` table and heartbeats.

    Seeds that have no row yet are peers without an incarnation. A daemon
    listens for peers before it writes its row, so a refused connection is
    evidence that the incarnation in the row is dead. `providers` is the
    registry of the load summaries in heartbeats.
    """

    def __init__(
        self,
        own_member: Member,
        network: PeerNetwork,
        table: DaemonTable,
        clock: Clock,
        settings: MembershipSettings,
        seeds: Mapping[DaemonId, Address],
    ) -> None:
        self._own_member = own_member
        self._network = network
        self._table = table
        self._settings = settings
        self._evidence = Evidence()
        self._monitor = HeartbeatMonitor(clock, settings)
        self._collector = SummaryCollector(settings.summary_bytes)
        self._members = MemberTable(own_member, seeds, self._evidence)
        self.providers: Registry[SummaryProvider] = self._collector.providers
        self._counter = 0
        self._clock = clock
        self._probed_at_ms: dict[DaemonId, int] = {}
        self._new_peers: set[DaemonId] = set()
        self._listeners: list[Callable[[], None]] = []
        table.subscribe(self.observe_scan)
        network.register(Heartbeat, self._receive)
        network.stream_closed.subscribe(self._on_peer_closed)
        self._probes: set[asyncio.Task[None]] = set()
        self._update_peers()

    def members(self) -> tuple[Member, ...]:
        """Returns the known daemons, including this one.

        Daemons whose host was removed from the host list are left out.
        """
        return tuple(self._members)

    def is_suspected(self, daemon_id: DaemonId) -> bool:
        """Returns whether a daemon is suspected, which is no evidence of death.

        Peers of the group are suspected when their heartbeats are missing,
        others when their row has not changed for 6 s.
        """
        if daemon_id in self._monitor.peers:
            return self._monitor.is_suspected(daemon_id)
        return self._table.unchanged_ms(daemon_id) > _SUSPECT_ROW_MS

    def is_dead(self, daemon_id: DaemonId, incarnation: Incarnation) -> bool:
        """Returns whether there is evidence that this incarnation is dead."""
        member = (daemon_id, incarnation)
        return self._evidence.is_dead(member, self._table.started_count)

    def has_ended(self, daemon_id: DaemonId, incarnation: Incarnation) -> bool:
        """Returns whether this incarnation is known to have ended."""
        member = (daemon_id, incarnation)
        return self._evidence.has_ended(member, self._table.started_count)

    def summaries_of(self, daemon_id: DaemonId) -> Mapping[str, Summary]:
        """Returns the last load summaries of a peer by provider name."""
        return self._monitor.summaries_of(daemon_id)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Adds a listener that is called when evidence may have changed."""
        self._listeners.append(listener)

    def observe_scan(self, scan: DaemonScan) -> None:
        """Updates the members from a scan of the `daemons` table."""
        self._members.observe_scan(scan)
        self._update_peers()

    def observe_hosts(self, hosts: Iterable[Host]) -> None:
        """Applies the host list; members removed from it are dead."""
        self._members.observe_hosts(hosts)
        self._update_peers()
        _call_all(self._listeners)

    async def send_heartbeats(self) -> None:
        """Sends one heartbeat to the next peers of the group.

        Peers without a stream get heartbeats more often. When a
        stream closes, the peer is probed immediately. Peers that have just
        started get a heartbeat in this round, since they suspect peers whose
        heartbeats they don't receive.
        """
        self._counter += 1
        heartbeat = Heartbeat(
            self._own_member.incarnation,
            self._counter,
            dict(self._collector.collect()),
            self._monitor.contact_ages(),
        )
        targets = {*self._monitor.targets(self._counter), *self._new_peers}
        self._new_peers.clear()
        if self._monitor.is_retry_due(self._counter):
            targets.update(
                peer
                for peer in self._monitor.peers
                if not self._network.stream_number(peer)
            )
        sends = [
            self._observe_attempt(peer, self._network.send(peer, heartbeat))
            for peer in targets
        ]
        await asyncio.gather(*sends)
        self._monitor.check()

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            await self.send_heartbeats()
            await asyncio.sleep(self._settings.heartbeat_interval_ms / 1000)

    async def probe(self, daemon_id: DaemonId) -> None:
        """Connects to a peer; a refused connection is evidence of death."""
        await self._observe_attempt(daemon_id, self._network.probe(daemon_id))

    async def _observe_attempt(
        self,
        daemon_id: DaemonId,
        attempt: Awaitable[Failure | None],
    ) -> None:
        # A refused connection is evidence only against the incarnation known
        # before the attempt, and only at its address: a restarted daemon may
        # have replaced it in the meantime.
        member = self._members.get(daemon_id)
        failure = await attempt
        if member is None or not isinstance(failure, RefusedConnection):
            return
        if failure.address == member.peer_listen:
            self._evidence.observe_refusal(member)
            _call_all(self._listeners)

    async def _receive(self, sender: DaemonId, heartbeat: Heartbeat) -> None:
        if self._monitor.receive(sender, heartbeat):
            self._new_peers.add(sender)
            # Only the `daemons` table orders incarnations, so a new one is a
            # reason to read the table soon.
            _call_all(self._listeners)

    def _on_peer_closed(self, daemon_id: DaemonId) -> None:
        # A killed process closes its streams, and a connection attempt then
        # gives evidence before the next heartbeat. A peer that rejects this
        # daemon closes each stream immediately; without a pause between
        # attempts there were 200 connections a second.
        now_ms = self._clock.monotonic_ms()
        probed_at_ms = self._probed_at_ms.get(daemon_id)
        pause_ms = self._settings.heartbeat_interval_ms
        if probed_at_ms is not None and now_ms - probed_at_ms < pause_ms:
            return
        self._probed_at_ms[daemon_id] = now_ms
        task = asyncio.create_task(self.probe(daemon_id))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    def _update_peers(self) -> None:
        addresses = self._members.addresses()
        for removed in self._probed_at_ms.keys() - addresses.keys():
            self._probed_at_ms.pop(removed)
        self._network.set_peers(addresses)
        group = heartbeat_group(
            self._own_member.daemon_id,
            addresses,
            self._settings.group_count,
        )
        # Each daemon starts with the peer after itself, so that all peers get
        # the same number of heartbeats.
        index = group.index(self._own_member.daemon_id)
        self._monitor.set_peers(group[index + 1 :] + group[:index])


def _call_all(listeners: Iterable[Callable[[], None]]) -> None:
    for listener in listeners:
        listener()


__all__ = ('Membership', 'parse_seed_peers')
