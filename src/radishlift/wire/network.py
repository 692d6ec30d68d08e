"""Connections of a daemon to and from its peers."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Container
from typing import Any

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DaemonId
from radishlift.core.levels import FORMAT_LEVEL
from radishlift.core.logs import log_event
from radishlift.wire.connection import PeerConnection
from radishlift.wire.hello import (
    Hello,
    HelloFields,
    PeerLevels,
    hello_frame,
    read_hello,
)
from radishlift.wire.tls import PeerTls
from radishlift.wire.transport import PeerTransport, RefusedConnection

MessageHandler = Callable[[DaemonId, Any], Awaitable[Any]]


class PeerSignal:
    """Calls listeners with the id of a peer."""

    def __init__(self) -> None:
        self._listeners: list[Callable[[DaemonId], None]] = []

    def subscribe(self, listener: Callable[[DaemonId], None]) -> None:
        """Adds a listener."""
        self._listeners.append(listener)

    def emit(self, peer: DaemonId) -> None:
        """Calls the listeners in the order of their subscription."""
        for listener in self._listeners:
            listener(peer)

    def clear(self) -> None:
        """Removes all listeners."""
        self._listeners.clear()


class PeerNetwork:
    """Calls peers by id and dispatches their messages to handlers.

    Each daemon opens a stream to a peer for its own calls; the peer's calls
    arrive on the stream that the peer opened. `stream_closed` is emitted when
    a peer closes the stream that this daemon opened, `incoming_ended` when
    the last stream that a peer opened has ended. A stream that went silent is
    replaced before the next message.
    """

    def __init__(
        self,
        daemon_id: DaemonId,
        secret: str = '',
        format_level: int = FORMAT_LEVEL,
        tls: PeerTls | None = None,
    ) -> None:
        self.daemon_id = daemon_id
        self.levels = PeerLevels()
        self._transport = PeerTransport(tls)
        self._hello = HelloFields(secret, format_level)
        self._addresses: dict[DaemonId, Address] = {}
        self._outgoing: dict[DaemonId, PeerConnection] = {}
        self._opened_counts: Counter[DaemonId] = Counter()
        self._incoming: dict[PeerConnection, DaemonId] = {}
        self._connecting: dict[DaemonId, asyncio.Lock] = {}
        self._handlers: dict[type, MessageHandler] = {}
        self._server: asyncio.Server | None = None
        self._runners: set[asyncio.Task[None]] = set()
        self.stream_closed = PeerSignal()
        self.incoming_ended = PeerSignal()

    def register(self, message_type: type, handler: MessageHandler) -> None:
        """Sets the handler of a message type.

        The handler receives the sender and the message. It returns the reply,
        a `Failure`, or None for a message that has no reply.
        """
        self._handlers[message_type] = handler

    def set_peers(self, addresses: dict[DaemonId, Address]) -> None:
        """Replaces the known peers, and closes streams to changed addresses.

        Connections from other daemons are rejected.
        """
        for daemon_id, connection in list(self._outgoing.items()):
            if addresses.get(daemon_id) != self._addresses.get(daemon_id):
                connection.close()
                self._outgoing.pop(daemon_id, None)
        self._addresses = dict(addresses)

    @property
    def peers(self) -> tuple[DaemonId, ...]:
        """Returns the known peers, without this daemon."""
        return tuple(
            daemon_id
            for daemon_id in self._addresses
            if daemon_id != self.daemon_id
        )

    def stream_number(self, daemon_id: DaemonId) -> int:
        """Returns the number of the open stream to a peer; 0 without one.

        Each new stream to a peer has a higher number. As long as the number
        is unchanged, no message sent on the stream has been lost.
        """
        connection = self._outgoing.get(daemon_id)
        if connection is None or not connection.is_open:
            return 0
        return self._opened_counts[daemon_id]

    @property
    def traffic_bytes(self) -> int:
        """Returns the bytes sent and received on the open streams."""
        connections = (*self._outgoing.values(), *self._incoming)
        return sum(
            connection.sent_bytes + connection.received_bytes
            for connection in connections
        )

    async def start(self, address: Address) -> None:
        """Listens for peers on an address."""
        self._server = await self._transport.listen(address, self._accept)

    async def stop(self) -> None:
        """Stops listening and closes all streams."""
        self.stream_closed.clear()
        self.incoming_ended.clear()
        if self._server is not None:
            self._server.close()
        for connection in (*self._outgoing.values(), *self._incoming):
            connection.close()
        for runner in self._runners:
            runner.cancel()

    async def call(
        self,
        daemon_id: DaemonId,
        message: object,
        timeout_ms: int,
        longest_ms: int = 0,
    ) -> Any:
        """Calls a peer, or this daemon itself, and returns its reply.

        A long reply may take up to `longest_ms`, as long as bytes arrive.
        """
        if daemon_id == self.daemon_id:
            return await self._dispatch(daemon_id, message)
        refusal = self.levels.check_message_level(daemon_id, message)
        connection = refusal or await self._connect(daemon_id)
        if isinstance(connection, Failure):
            return connection
        try:
            return await connection.call(message, timeout_ms, longest_ms)
        finally:
            is_in_use = self._outgoing.get(daemon_id) is connection
            if connection.is_silent and is_in_use:
                # Later messages use a new stream.
                del self._outgoing[daemon_id]
                connection.retire()
                log_event('peer_stream_silent', peer=daemon_id)

    async def send(
        self, daemon_id: DaemonId, message: object
    ) -> Failure | None:
        """Sends a message without a reply; it may be lost."""
        refusal = self.levels.check_message_level(daemon_id, message)
        connection = refusal or await self._connect(daemon_id)
        if isinstance(connection, Failure):
            return connection
        return connection.send(message)

    async def probe(self, daemon_id: DaemonId) -> Failure | None:
        """Connects to a peer unless connected; returns a failure or None."""
        connection = await self._connect(daemon_id)
        return connection if isinstance(connection, Failure) else None

    async def _connect(self, daemon_id: DaemonId) -> PeerConnection | Failure:
        lock = self._connecting.setdefault(daemon_id, asyncio.Lock())
        async with lock:
            connection = self._outgoing.get(daemon_id)
            if connection is not None and connection.is_open:
                return connection
            return await self._open(daemon_id)

    async def _open(self, daemon_id: DaemonId) -> PeerConnection | Failure:
        address = self._addresses.get(daemon_id)
        if address is None:
            reason = f'{daemon_id} is not a known peer'
            return Failure(ErrorKind.peer_unavailable, reason)
        streams = await self._transport.dial(daemon_id, address)
        if isinstance(streams, Failure):
            return streams
        connection = PeerConnection(
            *streams,
            lambda message: self._dispatch(daemon_id, message),
        )
        connection.send_frame(hello_frame(self.daemon_id, self._hello))
        self._outgoing[daemon_id] = connection
        self._opened_counts[daemon_id] += 1
        self._run(connection, daemon_id)
        return connection

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        hello = await read_hello(reader)
        if not isinstance(hello, Failure):
            hello = (
                _check_member(hello, self._hello.secret, self._addresses)
                or self._transport.check_peer_certificate(
                    writer, hello.daemon_id
                )
                or hello
            )
        if isinstance(hello, Failure):
            log_event('peer_rejected', reason=hello.reason)
            writer.close()
            return
        sender = hello.daemon_id
        self.levels.set_level(sender, hello.fields.format_level)
        connection = PeerConnection(
            reader,
            writer,
            lambda message: self._dispatch(sender, message),
        )
        self._incoming[connection] = sender
        self._run(connection, sender)

    def _run(self, connection: PeerConnection, peer: DaemonId) -> None:
        runner = asyncio.create_task(connection.run())
        self._runners.add(runner)

        def forget(task: asyncio.Task[None]) -> None:
            self._runners.discard(task)
            sender = self._incoming.pop(connection, None)
            if sender is not None and sender not in self._incoming.values():
                self.levels.forget(sender)
                self.incoming_ended.emit(sender)
            # A replaced or removed stream was closed by this daemon.
            in_use = self._outgoing.get(peer) is connection
            if in_use and not task.cancelled():
                self.stream_closed.emit(peer)

        runner.add_done_callback(forget)

    async def _dispatch(self, sender: DaemonId, message: object) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            reason = f'no handler for {type(message).__name__}'
            return Failure(ErrorKind.bad_frame, reason)
        return await handler(sender, message)


def _check_member(
    hello: Hello,
    secret: str,
    known: Container[DaemonId],
) -> Failure | None:
    if hello.fields.secret == secret and hello.daemon_id in known:
        return None
    return Failure(ErrorKind.unauthorized, hello.daemon_id)


__all__ = ('PeerNetwork', 'PeerSignal', 'RefusedConnection')
