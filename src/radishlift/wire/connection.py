"""One connection between two daemons, in either direction."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.kinds import UnknownFormat
from radishlift.core.logs import log_event
from radishlift.wire.frames import (
    Frame,
    FrameDecoder,
    FrameKind,
    encode_frame,
)
from radishlift.wire.messages import decode_message, encode_message

_READ_BYTES: Final = 64 * 1024
# A cancelled call says nothing about the stream before this time.
_SILENCE_MS: Final = 500
_MAX_SEND_BUFFER_BYTES: Final = 4 * 1024 * 1024
# Each unknown name is logged once. The peer chooses the names, so the set of
# logged names is bounded.
_MAX_UNKNOWN_NAMES: Final = 16

Dispatch = Callable[[Any], Awaitable[Any]]


class PeerConnection:
    """Sends and receives frames; pairs replies with calls.

    Each call gets at most one reply. A reply that arrives after its call
    timed out is dropped, so that it can't complete another call.

    `is_silent` is whether a call ended without a reply while nothing arrived:
    the stream may be dead although neither side has closed it.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dispatch: Dispatch,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._dispatch = dispatch
        self._call_ids = count(1)
        self._calls: dict[int, asyncio.Future[Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unknown_names: set[str] = set()
        self._is_retired = False
        self.is_silent = False
        self.sent_bytes = 0
        self.received_bytes = 0

    @property
    def is_open(self) -> bool:
        """Returns whether frames can be sent."""
        return not self._writer.is_closing()

    def send(self, message: object) -> Failure | None:
        """Sends a message that has no reply."""
        name, fields = encode_message(message)
        return self.send_frame(Frame(FrameKind.one_way, 0, name, fields))

    async def call(
        self, message: object, timeout_ms: int, longest_ms: int = 0
    ) -> Any:
        """Sends a message and waits for its reply or a failure.

        A long reply may take up to `longest_ms`, as long as bytes arrive in
        each time of `timeout_ms`. Fails with `peer_unavailable` if the message
        was certainly not sent, otherwise with `peer_outcome_unknown`.
        """
        call_id = next(self._call_ids)
        name, fields = encode_message(message)
        failure = self.send_frame(Frame(FrameKind.call, call_id, name, fields))
        if failure is not None:
            return failure
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._calls[call_id] = future
        received_bytes = self.received_bytes
        # Callers with a time-out of their own cancel the call.
        silent_at_s = loop.time() + min(timeout_ms, _SILENCE_MS) / 1000
        try:
            if not await self._wait_for_reply(future, timeout_ms, longest_ms):
                reason = f'no reply to {name} in {timeout_ms} ms'
                return Failure(ErrorKind.peer_outcome_unknown, reason)
            return future.result()
        finally:
            is_overdue = future.cancelled() and loop.time() >= silent_at_s
            self._finish(call_id, received_bytes if is_overdue else None)

    def send_frame(self, frame: Frame) -> Failure | None:
        """Writes a frame to the send buffer, or returns why it can't."""
        encoded = encode_frame(frame)
        if isinstance(encoded, Failure):
            return encoded
        if not self.is_open:
            return Failure(ErrorKind.peer_unavailable, 'connection is closed')
        # Limits the memory that a peer which does not read can occupy.
        buffered_bytes = self._writer.transport.get_write_buffer_size()
        if buffered_bytes > _MAX_SEND_BUFFER_BYTES:
            return Failure(ErrorKind.peer_unavailable, 'send buffer is full')
        self._writer.write(encoded)
        self.sent_bytes += len(encoded)
        return None

    async def run(self) -> None:
        """Receives frames until the stream ends, then fails pending calls."""
        decoder = FrameDecoder()
        try:
            while received := await self._reader.read(_READ_BYTES):
                self.received_bytes += len(received)
                for frame in decoder.feed(received):
                    if isinstance(frame, Failure):
                        log_event('bad_frame', reason=frame.reason)
                        return
                    self._receive(frame)
        except OSError as error:
            log_event('peer_stream_broken', reason=error)
        finally:
            self.close()

    def retire(self) -> None:
        """Closes the stream once no call waits for a reply."""
        self._is_retired = True
        self._close_if_unused()

    def close(self) -> None:
        """Closes the stream; pending calls fail with an unknown outcome."""
        self._writer.close()
        for future in self._calls.values():
            if not future.done():
                reason = 'connection closed before the reply'
                future.set_result(
                    Failure(ErrorKind.peer_outcome_unknown, reason),
                )

    async def _wait_for_reply(
        self, future: asyncio.Future[Any], timeout_ms: int, longest_ms: int
    ) -> bool:
        """Waits for a reply; returns False if it does not arrive in time."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + longest_ms / 1000
        try:
            while not future.done():
                received_bytes = self.received_bytes
                await asyncio.wait((future,), timeout=timeout_ms / 1000)
                has_stopped = self.received_bytes == received_bytes
                if has_stopped or loop.time() >= ends_at_s:
                    break
        finally:
            future.cancel()
        return not future.cancelled()

    def _finish(self, call_id: int, received_bytes: int | None) -> None:
        """Ends a call; `received_bytes` were known before an overdue one."""
        del self._calls[call_id]
        if received_bytes is not None:
            self.is_silent = self.received_bytes == received_bytes
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self._is_retired and not self._calls:
            self.close()

    def _receive(self, frame: Frame) -> None:
        if frame.kind in {FrameKind.reply, FrameKind.failure}:
            self._finish_call(frame)
        elif frame.kind in {FrameKind.call, FrameKind.one_way}:
            task = asyncio.create_task(self._handle(frame))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _finish_call(self, frame: Frame) -> None:
        future = self._calls.get(frame.call_id)
        if future is None or future.done():
            log_event('late_reply_dropped', name=frame.name)
            return
        if frame.kind is FrameKind.failure:
            future.set_result(_decode_failure(frame))
        else:
            future.set_result(decode_message(frame.name, frame.fields))

    async def _handle(self, frame: Frame) -> None:
        message = decode_message(frame.name, frame.fields)
        if isinstance(message, UnknownFormat):
            self._refuse_unknown(frame, message)
            return
        if isinstance(message, Failure):
            log_event('bad_message', reason=message.reason)
            self.close()
            return
        reply = await self._dispatch(message)
        if frame.kind is FrameKind.call:
            self.send_frame(_encode_reply(frame.call_id, reply))

    def _refuse_unknown(self, frame: Frame, unknown: UnknownFormat) -> None:
        # A newer peer may send a message before it knows the format level of
        # this daemon. Closing the stream would fail its other calls too.
        names = self._unknown_names
        if frame.name not in names and len(names) < _MAX_UNKNOWN_NAMES:
            names.add(frame.name)
            log_event('unknown_message', reason=unknown.reason)
        if frame.kind is FrameKind.call:
            refused = Failure(ErrorKind.peer_unavailable, unknown.reason)
            self.send_frame(_encode_reply(frame.call_id, refused))


def _encode_reply(call_id: int, reply: object) -> Frame:
    if isinstance(reply, Failure):
        return Frame(
            FrameKind.failure,
            call_id,
            reply.kind.value,
            reply.reason,
        )
    name, fields = encode_message(reply)
    return Frame(FrameKind.reply, call_id, name, fields)


def _decode_failure(frame: Frame) -> Failure:
    try:
        kind = ErrorKind(frame.name)
    except ValueError:
        kind = ErrorKind.bad_frame
    return Failure(kind, str(frame.fields))


__all__ = ('PeerConnection',)
