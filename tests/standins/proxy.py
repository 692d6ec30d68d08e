"""A loopback proxy that injects faults into its connections."""

import asyncio
import random
import socket
import struct
from collections.abc import Callable
from enum import Enum, unique

_CHUNK_BYTES = 65536
_RESET = struct.pack('ii', 1, 0)
USUAL_DELAYS_S = (0.2, 0.2)


@unique
class ConnectionFault(Enum):
    """Fault of the bytes that a proxy forwards."""

    none = 'none'
    delay = 'delay'
    silence = 'silence'
    lose_answers = 'lose_answers'


class Proxy:
    """Forwards connections to an address.

    The fault `delay` holds back each chunk for a time within `delays_s`, so
    that answers on different connections overtake each other if it varies.
    The port stays reserved while no connections are accepted. `on_request` is
    called with each chunk of a request before it is forwarded.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self._target = host, int(port)
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self.fault = ConnectionFault.none
        self.delays_s = USUAL_DELAYS_S
        self.on_request: Callable[[bytes], None] | None = None
        self._reservation: socket.socket | None = None
        self.address = ''
        self.port = 0

    @property
    def is_listening(self) -> bool:
        """Returns whether new connections are accepted."""
        return self._server is not None and self._server.is_serving()

    async def start(self, port: int = 0) -> None:
        if self._reservation is None:
            self._reservation = socket.socket()
            self._reservation.setsockopt(
                socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
            )
            self._reservation.bind(('127.0.0.1', port))
            port = self._reservation.getsockname()[1]
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', port, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{self.port}'

    def refuse(self) -> None:
        """Refuses new connections until `start`; open ones work on."""
        self._server.close()

    async def stop(self) -> None:
        self.refuse()
        self.reset()

    async def close(self) -> None:
        """Stops and releases the port."""
        await self.stop()
        self._reservation.close()

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
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, target_writer}
        directions = (
            asyncio.create_task(
                self._forward(reader, target_writer, ConnectionFault.silence)
            ),
            asyncio.create_task(
                self._forward(
                    target_reader, writer, ConnectionFault.lose_answers
                ),
            ),
        )
        await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        for direction in directions:
            direction.cancel()
        for open_writer in (writer, target_writer):
            self._open.discard(open_writer)
            open_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping_fault: ConnectionFault,
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.fault in {dropping_fault, ConnectionFault.silence}:
                    # Nothing more is forwarded until the connection ends.
                    await asyncio.Event().wait()
                is_request = dropping_fault is ConnectionFault.silence
                if is_request and self.on_request is not None:
                    self.on_request(chunk)
                if self.fault is ConnectionFault.delay:
                    await asyncio.sleep(random.uniform(*self.delays_s))
                writer.write(chunk)
                await writer.drain()
        except OSError:
            # `_accept` closes both sides when one direction ends.
            return


__all__ = ('USUAL_DELAYS_S', 'ConnectionFault', 'Proxy')
