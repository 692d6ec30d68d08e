"""TCP relay between two parties, which a test can cut."""

import asyncio
from enum import Enum, unique


@unique
class RelayState(Enum):
    """What a relay does with bytes."""

    open = 'open'
    cut = 'cut'


class Relay:
    """Forwards connections to a target until it is cut.

    A cut loses bytes silently in both directions, as a network does: open
    connections stay open and hang, new ones are accepted and hang.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self.target = target
        self.state = RelayState.open
        self.bytes_count = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens for connections, unless it does already."""
        if self._server is not None:
            return
        host, _, port = self.listen.rpartition(':')
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Closes all connections and refuses new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.close()

    def cut(self) -> None:
        """Loses all bytes from now on."""
        self.state = RelayState.cut

    def heal(self) -> None:
        """Forwards again; connections that lost bytes are reset."""
        self.state = RelayState.open
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host,
                int(port),
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        await asyncio.gather(
            self._forward(reader, target_writer),
            self._forward(target_reader, writer),
        )
        self._writers -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while received := await reader.read(65536):
                self.bytes_count += len(received)
                if self.state is RelayState.open:
                    writer.write(received)
                    await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            if self.state is RelayState.open:
                writer.close()
