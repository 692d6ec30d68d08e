"""Link of a limited rate between a client and a server on loopback."""

import asyncio
from contextlib import asynccontextmanager, suppress

PIECE_BYTES = 4096


class _Direction:
    """Bytes of all connections in one direction share its rate."""

    def __init__(self, bytes_per_s) -> None:
        self._bytes_per_s = bytes_per_s
        self._is_free_at_s = 0

    async def copy(self, reader, writer):
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while piece := await reader.read(PIECE_BYTES):
                begins_at_s = max(loop.time(), self._is_free_at_s)
                self._is_free_at_s = (
                    begins_at_s + len(piece) / self._bytes_per_s
                )
                await asyncio.sleep(self._is_free_at_s - loop.time())
                writer.write(piece)
                await writer.drain()
        writer.close()


@asynccontextmanager
async def run_slow_link(address, mbps):
    """Runs a link to a server; yields the address of its other end."""
    host, port = address.split(':')
    up = _Direction(mbps * 125_000)
    down = _Direction(mbps * 125_000)

    async def serve(reader, writer):
        remote = await asyncio.open_connection(
            host, int(port), limit=PIECE_BYTES
        )
        with suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(
                up.copy(reader, remote[1]), down.copy(remote[0], writer)
            )

    server = await asyncio.start_server(
        serve, '127.0.0.1', 0, limit=PIECE_BYTES
    )
    try:
        yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    finally:
        server.close()
