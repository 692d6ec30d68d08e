"""TCP relay that a test can cut."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique

from msgpack import packb


@unique
class RelayState(Enum):
    """What a relay does with bytes."""

    open = 'open'
    cut = 'cut'


@dataclass(slots=True)
class RelayedConnection:
    """One relayed connection; `first_bytes` come from its initiator."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    first_bytes: bytes = b''


class Relay:
    """Forwards connections to a target until it is cut.

    A cut loses bytes silently in both directions, as a network does: open
    connections stay open and hang, new ones are accepted and hang. A relay of
    a peer address can block single daemons, whose ids are in the first bytes
    of their connections.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self.target = target
        self.state = RelayState.open
        self.bytes_count = 0
        self._blocked: tuple[bytes, ...] = ()
        self._server: asyncio.Server | None = None
        self._links: list[RelayedConnection] = []

    async def start(self) -> None:
        """Starts to listen; does nothing if it listens already."""
        if self._server is not None:
            return
        host, _, port = self.listen.rpartition(':')
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Closes all connections and refuses new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for link in self._links:
            for writer in link.writers:
                writer.close()

    def cut(self) -> None:
        """Drops all bytes until `restore`."""
        self.state = RelayState.cut

    def block_daemons(self, daemon_ids: Iterable[str]) -> None:
        """Drops all bytes from and to these daemons until `restore`."""
        self._blocked = tuple(packb(daemon_id) for daemon_id in daemon_ids)

    def restore(self) -> None:
        """Forwards again; resets connections that lost bytes."""
        for link in self._links:
            if not self._passes(link):
                for writer in link.writers:
                    writer.transport.abort()
        self.state = RelayState.open
        self._blocked = ()

    def _passes(self, link: RelayedConnection) -> bool:
        if self.state is RelayState.cut:
            return False
        return not any(name in link.first_bytes for name in self._blocked)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host,
                int(port),
            )
        except OSError:
            writer.transport.abort()
            return
        link = RelayedConnection((writer, target_writer))
        self._links.append(link)
        await asyncio.gather(
            self._forward(link, reader, target_writer),
            self._forward(link, target_reader, writer),
        )
        self._links.remove(link)

    async def _forward(
        self,
        link: RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while received := await reader.read(65536):
                self.bytes_count += len(received)
                # The initiator of a stream between daemons sends first.
                link.first_bytes = link.first_bytes or received
                if self._passes(link):
                    writer.write(received)
                    await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            if self._passes(link):
                writer.close()
