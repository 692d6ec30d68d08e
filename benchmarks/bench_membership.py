"""CPU time and traffic of membership and ownership.

Heartbeats run over loopback with all daemons of a group in one process; the CPU
time of a round is divided by the number of daemons. Ownership steps use a table
service in memory, without the cost of its HTTP client.
"""

import asyncio
import json
import time
from typing import Any, Final

from loguru import logger

from benchmarks.harness import BENCHMARKS, Figure, at_most
from radishlift.core.clock import BootClock
from radishlift.core.codec import dump_plain
from radishlift.core.ids import (
    Address,
    DaemonId,
    DataCentreId,
    Incarnation,
)
from radishlift.membership.api import Member
from radishlift.membership.daemon_table import DaemonTable
from radishlift.membership.membership import Membership
from radishlift.membership.settings import MembershipSettings
from radishlift.ownership.settings import OwnershipSettings
from radishlift.services.api import Transaction
from radishlift.wire.network import PeerNetwork
from tests.ownership.fleet import Daemon, Fleet
from tests.standins.tables import MemoryTableStore

CONTROL_BYTES_PER_S: Final = 7000
CONTROL_CORE_PERCENT: Final = 1.7
FIRST_PORT: Final = 21_300
PARTITIONS_PER_DAEMON: Final = 10
MINUTE_S: Final = 60
RENEW_MS: Final = OwnershipSettings().renew_interval_ms
HTTP_BYTES: Final = 400


class Peer:
    """The membership of a daemon on loopback."""

    def __init__(self, number: int, seeds: dict[DaemonId, Address]) -> None:
        daemon_id = DaemonId(f'entry-{number:02d}')
        self.address = seeds[daemon_id]
        self.network = PeerNetwork(daemon_id)
        member = Member(
            daemon_id,
            Incarnation('6f1d2c3b4a59'),
            self.address,
            self.address,
            DataCentreId('dn-a'),
        )
        clock = BootClock()
        self.membership = Membership(
            member,
            self.network,
            DaemonTable(MemoryTableStore(), clock),
            clock,
            MembershipSettings(),
            seeds,
        )
        # The maximum size of summaries: 128 bytes of numbers.
        self.membership.providers.register('load')(
            lambda: [number + 0.5 for number in range(13)],
        )


async def heartbeat_figures(count: int, rounds: int) -> list[Figure]:
    """Measures heartbeat rounds of a group in one process."""
    seeds = {
        DaemonId(f'entry-{number:02d}'): Address(
            f'127.0.0.1:{FIRST_PORT + number}',
        )
        for number in range(count)
    }
    peers = [Peer(number, seeds) for number in range(count)]
    for peer in peers:
        await peer.network.start(peer.address)
    await exchange_heartbeats(peers)
    sent_before = sum(peer.network.traffic_bytes for peer in peers)
    started_s = time.process_time()
    for _ in range(rounds):
        await exchange_heartbeats(peers)
    cpu_s = time.process_time() - started_s
    traffic = sum(peer.network.traffic_bytes for peer in peers) - sent_before
    settings = MembershipSettings()
    interval_ms = settings.heartbeat_interval_ms
    sent_count = min(settings.targets_count, count - 1)
    for peer in peers:
        await peer.network.stop()
    round_s = interval_ms / 1000
    cpu_round_s = cpu_s / rounds / count
    bytes_per_s = traffic / rounds / count / round_s
    name = f'membership_{count}'
    return [
        Figure(f'{name}_interval_ms', interval_ms),
        Figure(
            f'{name}_bytes_per_s',
            bytes_per_s,
            at_most(CONTROL_BYTES_PER_S),
        ),
        Figure(f'{name}_peer_bytes_per_s', bytes_per_s / (count - 1)),
        Figure(f'{name}_cpu_per_heartbeat_us', cpu_round_s * 1e6 / sent_count),
        Figure(
            f'{name}_core_percent',
            cpu_round_s * 100 / round_s,
            at_most(CONTROL_CORE_PERCENT),
        ),
    ]


async def exchange_heartbeats(peers: list[Peer]) -> None:
    """Sends the heartbeats of all peers and waits until all are received."""
    await asyncio.gather(
        *[peer.membership.send_heartbeats() for peer in peers],
    )
    by_id = {peer.network.daemon_id: peer for peer in peers}
    for sender in peers:
        counter = sender.membership._counter
        for target in sender.membership._monitor.targets(counter):
            await wait_received(
                by_id[target], sender.network.daemon_id, counter
            )


async def wait_received(peer: Peer, sender: DaemonId, counter: int) -> None:
    """Waits until a peer has received a sender's heartbeat."""
    state = peer.membership._monitor._peer_states[sender]
    for _ in range(100_000):
        if state.counter >= counter:
            return
        await asyncio.sleep(0)
    raise AssertionError('a heartbeat was lost')


@BENCHMARKS.register('membership')
def bench_membership() -> list[Figure]:
    """Measures traffic and CPU time of heartbeats by group size."""
    logger.remove()
    figures: list[Figure] = []
    for count in (3, 7, 14, 28):
        figures.extend(asyncio.run(heartbeat_figures(count, 10)))
    return figures


class CountingStore(MemoryTableStore):
    """Counts JSON bytes of requests and results, plus `HTTP_BYTES` for each."""

    traffic_bytes = 0

    async def scan(self, *query: Any) -> Any:
        """Counts and reads rows."""
        rows = await super().scan(*query)
        self._count(dump_plain(rows))
        return rows

    async def commit(self, transaction: Transaction) -> Any:
        """Counts and applies a transaction."""
        self._count(dump_plain(transaction))
        return await super().commit(transaction)

    def _count(self, plain: Any) -> None:
        self.traffic_bytes += HTTP_BYTES + len(json.dumps(plain))


@BENCHMARKS.register('ownership')
def bench_ownership() -> list[Figure]:
    """Measures CPU time and traffic of a daemon in an unchanged fleet."""
    logger.remove()
    figures: list[Figure] = []
    for count in (7, 28):
        figures.extend(asyncio.run(control_figures(count)))
    return figures


async def control_figures(count: int) -> list[Figure]:
    """Measures the renewals and steps of one daemon over a minute."""
    names = [f'entry-{number:02d}' for number in range(count)]
    fleet = Fleet(count * PARTITIONS_PER_DAEMON, *names)
    await fleet.run(60_000)
    daemon = fleet.daemons[0]
    counting = CountingStore(fleet.store.tables)
    # The CPU time excludes counting bytes and the other daemons.
    cpu_s = await run_idle_minute(fleet, daemon)
    daemon.store.scan = counting.scan
    daemon.store.commit = counting.commit
    await run_idle_minute(fleet, daemon)
    name = f'ownership_{count}'
    return [
        Figure(f'{name}_interval_ms', daemon.manager.scan_interval_ms),
        Figure(
            f'{name}_bytes_per_s',
            counting.traffic_bytes / MINUTE_S,
            at_most(CONTROL_BYTES_PER_S),
        ),
        Figure(
            f'{name}_core_percent',
            cpu_s * 100 / MINUTE_S,
            at_most(CONTROL_CORE_PERCENT),
        ),
    ]


async def run_idle_minute(fleet: Fleet, measured: Daemon) -> float:
    """Runs a simulated minute; returns the CPU seconds of one daemon."""
    cpu_s = 0
    step_ms = measured.manager.scan_interval_ms
    renewed_at_ms = fleet.clock.now_ms
    stepped_at_ms = fleet.clock.now_ms
    for _ in range(MINUTE_S * 10):
        fleet.clock.advance(100)
        started_s = time.process_time()
        if fleet.clock.now_ms - stepped_at_ms >= step_ms:
            stepped_at_ms = fleet.clock.now_ms
            await measured.manager.step()
        cpu_s += time.process_time() - started_s
        if fleet.clock.now_ms - renewed_at_ms < RENEW_MS:
            continue
        renewed_at_ms = fleet.clock.now_ms
        for daemon in fleet.daemons:
            started_s = time.process_time()
            await daemon.manager.renew()
            if daemon is measured:
                cpu_s += time.process_time() - started_s
    return cpu_s
