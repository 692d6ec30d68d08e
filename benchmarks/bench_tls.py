"""Throughput and CPU time of streams between daemons, without and with TLS.

Both ends run in one process over loopback, so the CPU time includes the
sender and the receiver. Control traffic may use 1.7% of a core. The
limit of a small message is a quarter of that at eight messages per second.
"""

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

import trustme

from benchmarks.harness import BENCHMARKS, Figure, at_most
from radishlift.core.ids import Address, DaemonId
from radishlift.wire.messages import message
from radishlift.wire.network import PeerNetwork
from radishlift.wire.tls import PeerTls
from tests.wire.certificates import write_files

A: Final = DaemonId('a')
B: Final = DaemonId('b')
FIRST_PORT: Final = 21_500
TIMEOUT_MS: Final = 5000
LARGE_BYTES: Final = 256 * 1024
LARGE_CALLS: Final = 300
SMALL_BYTES: Final = 200
SMALL_CALLS: Final = 3000
STREAMS: Final = 40
US_PER_S: Final = 1_000_000
CONTROL_US_PER_S: Final = 17_000
MESSAGES_PER_S: Final = 8
CONTROL_PART: Final = 0.25


@message('bench_payload')
@dataclass(frozen=True, slots=True)
class Payload:
    """Content of a call; the reply has its first byte."""

    content: bytes


async def _answer(_sender: DaemonId, payload: Payload) -> Payload:
    return Payload(payload.content[:1])


class Pair:
    """The networks of two daemons on loopback."""

    def __init__(
        self, first_port: int, tls: tuple[PeerTls | None, ...]
    ) -> None:
        self.addresses = {
            name: Address(f'127.0.0.1:{first_port + index}')
            for index, name in enumerate((A, B))
        }
        self.networks = [
            PeerNetwork(name, tls=peer_tls)
            for name, peer_tls in zip((A, B), tls, strict=True)
        ]

    async def start(self) -> None:
        """Listens on both addresses."""
        for network in self.networks:
            network.set_peers(self.addresses)
            network.register(Payload, _answer)
            await network.start(self.addresses[network.daemon_id])

    async def stop(self) -> None:
        """Closes all streams."""
        for network in self.networks:
            await network.stop()

    async def call(self, size_bytes: int, count: int) -> tuple[float, float]:
        """Makes sequential calls; returns seconds and CPU seconds."""
        payload = Payload(b'x' * size_bytes)
        start = (time.perf_counter(), time.process_time())
        for _ in range(count):
            reply = await self.networks[0].call(B, payload, TIMEOUT_MS)
            if not isinstance(reply, Payload):
                raise TypeError(str(reply))
        return time.perf_counter() - start[0], time.process_time() - start[1]

    async def reconnect(self, count: int) -> float:
        """Closes and opens streams; returns CPU seconds."""
        start = time.process_time()
        for _ in range(count):
            self.networks[0].set_peers({})
            self.networks[0].set_peers(self.addresses)
            await self.call(1, 1)
        return time.process_time() - start


async def _measure(
    name: str,
    port: int,
    tls: tuple[PeerTls | None, ...],
) -> list[Figure]:
    pair = Pair(port, tls)
    await pair.start()
    await pair.call(SMALL_BYTES, 10)
    small = await pair.call(SMALL_BYTES, SMALL_CALLS)
    large = await pair.call(LARGE_BYTES, LARGE_CALLS)
    opened_s = await pair.reconnect(STREAMS)
    await pair.stop()
    # A call is two messages: the request and the reply.
    small_us = small[1] * US_PER_S / SMALL_CALLS / 2
    limit_us = CONTROL_US_PER_S * CONTROL_PART / MESSAGES_PER_S
    sent_mb = LARGE_BYTES * LARGE_CALLS / US_PER_S
    return [
        Figure(f'tls.{name}.message_us', small_us, at_most(limit_us)),
        Figure(f'tls.{name}.bytes_mb_per_s', sent_mb / large[0]),
        Figure(f'tls.{name}.cpu_ms_per_mb', large[1] * 1000 / sent_mb),
        Figure(f'tls.{name}.stream_ms', opened_s * 1000 / STREAMS),
    ]


@BENCHMARKS.register('tls')
def run() -> list[Figure]:
    """Measures streams in plaintext, then with TLS."""
    authority = trustme.CA()
    figures = asyncio.run(_measure('plaintext', FIRST_PORT, (None, None)))
    with TemporaryDirectory() as folder:
        tls = tuple(
            PeerTls(write_files(Path(folder) / name, authority, name))
            for name in (A, B)
        )
        figures += asyncio.run(_measure('tls', FIRST_PORT + 10, tls))
    return figures
