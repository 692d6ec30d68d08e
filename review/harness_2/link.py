"""A link between daemons and an executor that delays a call or is cut."""

import asyncio
from contextlib import suppress

_CHUNK_BYTES = 65_536


class Link:
    """Forwards connections to a port.

    After `delay_next` the next call that contains a text is kept, its caller
    gets no answer, and `deliver` sends it on. While `is_cut` nothing passes in
    either direction.
    """

    def __init__(self, port) -> None:
        self._target_port = port
        self._wanted = b''
        self._watched = b''
        self._has_passed = asyncio.Event()
        self._server = None
        self._connections = set()
        self._late = None
        self.kept = b''
        self.is_cut = False
        self.port = 0

    async def open(self):
        """Listens on a free port; returns the address."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{self.port}'

    async def close(self):
        """Stops listening and ends all connections."""
        self._server.close()
        if self._late is not None:
            self._late.close()
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def delay_next(self, text):
        """Keeps the next call that contains a text."""
        self._wanted = text

    async def until_passed(self, text):
        """Waits until a call that contains a text has passed."""
        self._watched = text
        self._has_passed.clear()
        await self._has_passed.wait()

    async def deliver(self):
        """Sends the kept call on; nobody waits for its answer."""
        _, writer = await asyncio.open_connection(
            '127.0.0.1', self._target_port
        )
        writer.write(self.kept)
        await writer.drain()
        self._late = writer

    async def _accept(self, reader, writer):
        self._connections.add(asyncio.current_task())
        try:
            await self._forward(reader, writer)
        except OSError:
            # The executor is down.
            return
        finally:
            writer.close()

    async def _forward(self, reader, writer):
        target_reader, target_writer = await asyncio.open_connection(
            '127.0.0.1', self._target_port
        )
        directions = (
            asyncio.create_task(self._calls(reader, target_writer)),
            asyncio.create_task(self._answers(target_reader, writer)),
        )
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            target_writer.close()

    async def _calls(self, reader, writer):
        with suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                await self._while_cut()
                if self._wanted and self._wanted in chunk:
                    # The caller waits for its time-out.
                    self._wanted = b''
                    self.kept = chunk
                    await asyncio.Event().wait()
                writer.write(chunk)
                await writer.drain()
                if self._watched and self._watched in chunk:
                    self._has_passed.set()

    async def _answers(self, reader, writer):
        with suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                await self._while_cut()
                writer.write(chunk)
                await writer.drain()

    async def _while_cut(self):
        if self.is_cut:
            # What a cut has held up is lost with its connection.
            await asyncio.Event().wait()
