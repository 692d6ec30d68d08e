"""Link of a machine to the store: a proxy that passes bytes at its rate."""

import asyncio
import time
from contextlib import suppress

CHUNK_BYTES = 4096
BITS = 8
BITS_IN_MB = 1_000_000


class Link:
    """All connections of a machine share its rate, in each direction."""

    def __init__(self, address, mbps) -> None:
        self._address = address
        self._bytes_per_s = mbps * BITS_IN_MB / BITS
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listens; returns the address."""
        self._sent, self._received = (
            _Rate(self._bytes_per_s),
            _Rate(self._bytes_per_s),
        )
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=CHUNK_BYTES
        )
        return f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'

    def stop(self):
        """Ends all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        host, _, port = self._address.rpartition(':')
        upstream = None
        try:
            upstream = await asyncio.open_connection(
                host, int(port), limit=CHUNK_BYTES
            )
            pumps = [
                asyncio.create_task(_pump(reader, upstream[1], self._sent)),
                asyncio.create_task(_pump(upstream[0], writer, self._received)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if upstream is not None:
                upstream[1].close()
            self._tasks.discard(task)


class _Rate:
    """Lets bytes pass at a rate, in the order of the requests."""

    def __init__(self, bytes_per_s) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0

    async def take(self, count):
        """Waits until this many bytes have passed."""
        now_s = time.monotonic()
        self._free_at_s = (
            max(self._free_at_s, now_s) + count / self._bytes_per_s
        )
        await asyncio.sleep(self._free_at_s - now_s)


async def _pump(reader, writer, rate):
    with suppress(OSError):
        while content := await reader.read(CHUNK_BYTES):
            await rate.take(len(content))
            writer.write(content)
            await writer.drain()
