"""A loopback proxy that harms the connections through it."""

import asyncio
import socket
import struct
from enum import Enum, unique

_CHUNK_BYTES = 65536
_RESET = struct.pack('ii', 1, 0)


@unique
class Harm(Enum):
    """What happens to bytes on their way."""

    none = 'none'
    delay = 'delay'
    silence = 'silence'
    lose_answers = 'lose_answers'


class Proxy:
    """Passes connections on to an address; `delay_s` is for each chunk."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self._target = host, int(port)
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self.harm = Harm.none
        self.delay_s = 0.2
        self.address = ''

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', 0, backlog=256
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in tuple(self._open):
            sock = writer.get_extra_info('socket')
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            onward = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, onward[1]}
        ways = (
            asyncio.create_task(self._pass(reader, onward[1], Harm.silence)),
            asyncio.create_task(
                self._pass(onward[0], writer, Harm.lose_answers),
            ),
        )
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for one in ways:
            one.cancel()
        for one in (writer, onward[1]):
            self._open.discard(one)
            one.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own_harm: Harm,
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.harm in {own_harm, Harm.silence}:
                    # The connection stays silent for good.
                    await asyncio.Event().wait()
                if self.harm is Harm.delay:
                    await asyncio.sleep(self.delay_s)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            # A reset of one side ends the other.
            return


__all__ = ('Harm', 'Proxy')
