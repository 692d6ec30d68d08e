"""Compares methods to distribute a configuration change.

See docs/dissemination.md.

All daemons run in this process, so a time is the CPU time of the whole fleet
rather than that of one daemon.
"""

import asyncio
import socket
import statistics
import time
from dataclasses import dataclass

from benchmarks.coded_gossip import CodedPeer
from benchmarks.documents import current_text, two_year_text
from benchmarks.harness import BENCHMARKS, Figure
from radishlift.config.messages import ConfigAck, ConfigUpdate
from radishlift.config.parsing import parse_document, render_document
from radishlift.core.ids import Address, ConfigVersion, DaemonId
from radishlift.wire.network import PeerNetwork

ROUNDS_COUNT = 15
TIMEOUT_MS = 20_000
DELTA = {
    'team:team-0001': {
        'department': 'rug-depot',
        'cpu_milli': '250000',
        'memory_mb': '512000',
        'accelerators_count': '0',
    }
}


@dataclass(frozen=True, slots=True)
class Cost:
    """Median cost of a round: time, total bytes, bytes of the publisher."""

    time_ms: float
    total_bytes: float
    publisher_bytes: float


def free_port() -> int:
    """Returns a free port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


async def start_networks(count: int) -> list[PeerNetwork]:
    """Starts networks and connects them with each other."""
    addresses = {
        DaemonId(f'd{number:02d}'): Address(f'127.0.0.1:{free_port()}')
        for number in range(count)
    }
    networks = [PeerNetwork(daemon_id) for daemon_id in addresses]
    for network in networks:
        network.set_peers(addresses)
        await network.start(addresses[network.daemon_id])
    for network in networks:
        await asyncio.gather(*(network.probe(peer) for peer in network.peers))
    return networks


async def measure(networks: list[PeerNetwork], run_round) -> Cost:
    """Runs the rounds and returns the median costs."""
    times_ms: list[float] = []
    totals: list[float] = []
    publishers: list[float] = []
    for number in range(ROUNDS_COUNT):
        before = [network.traffic_bytes for network in networks]
        started_s = time.perf_counter()
        await run_round(number + 1)
        times_ms.append((time.perf_counter() - started_s) * 1000)
        # Includes messages that were in transit at the end of the round.
        await asyncio.sleep(0.05)
        after = [network.traffic_bytes for network in networks]
        spent = [end - begin for begin, end in zip(before, after, strict=True)]
        # Each byte is counted by its sender and its receiver.
        totals.append(sum(spent) / 2)
        publishers.append(spent[0])
    return Cost(
        statistics.median(times_ms),
        statistics.median(totals),
        statistics.median(publishers),
    )


async def measure_push(count: int, update: ConfigUpdate) -> Cost:
    """Pushes an update from one daemon to all others."""
    networks = await start_networks(count)

    async def receive(_sender: DaemonId, received: ConfigUpdate) -> ConfigAck:
        return ConfigAck(received.version)

    async def run_round(_number: int) -> None:
        publisher = networks[0]
        replies = await asyncio.gather(
            *(
                publisher.call(peer, update, TIMEOUT_MS)
                for peer in publisher.peers
            )
        )
        assert all(isinstance(reply, ConfigAck) for reply in replies)

    for network in networks:
        network.register(ConfigUpdate, receive)
    cost = await measure(networks, run_round)
    await asyncio.gather(*(network.stop() for network in networks))
    return cost


async def measure_coded(count: int, content: bytes) -> Cost:
    """Distributes the content as coded shards until all have decoded it."""
    networks = await start_networks(count)
    peers = [CodedPeer(network, seed) for seed, network in enumerate(networks)]

    async def run_round(number: int) -> None:
        for peer in peers:
            peer.start_round(number)
        publication = asyncio.create_task(peers[0].publish(content))
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            await asyncio.gather(*(peer.decoded.wait() for peer in peers))
        publication.cancel()

    cost = await measure(networks, run_round)
    await asyncio.gather(*(network.stop() for network in networks))
    return cost


def figures_of(name: str, cost: Cost) -> list[Figure]:
    """Returns the figures of one method."""
    return [
        Figure(f'dissemination.{name}.time_ms', cost.time_ms),
        Figure(f'dissemination.{name}.total_bytes', cost.total_bytes),
        Figure(f'dissemination.{name}.publisher_bytes', cost.publisher_bytes),
    ]


def run_size(count: int, size: str, text: str) -> list[Figure]:
    """Measures the methods for one number of daemons and one document."""
    version = ConfigVersion(2)
    document = parse_document(text, version)
    assert not isinstance(document, tuple)
    full = render_document(document)
    delta = ConfigUpdate(version, ConfigVersion(1), DELTA)
    whole = ConfigUpdate(version, ConfigVersion(0), {}, full)
    costs = {
        'delta_push': asyncio.run(measure_push(count, delta)),
        'full_push': asyncio.run(measure_push(count, whole)),
        'coded_full': asyncio.run(measure_coded(count, full.encode())),
    }
    if size == 'current':
        content = str(DELTA).encode()
        costs['coded_delta'] = asyncio.run(measure_coded(count, content))
    return [
        figure
        for method, cost in costs.items()
        for figure in figures_of(f'{count}.{size}_{len(full)}b.{method}', cost)
    ]


@BENCHMARKS.register('dissemination')
def bench_dissemination() -> list[Figure]:
    """Compares delta push, full push and coded shards."""
    figures = []
    for count in (7, 28):
        figures.extend(run_size(count, 'current', current_text()))
        figures.extend(run_size(count, 'two_year', two_year_text()))
    return figures
