"""Hello frames, and the format levels that peers announce in them."""

import asyncio
from dataclasses import dataclass
from typing import Any, Final

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId
from radishlift.core.kinds import required_level
from radishlift.core.levels import LOWEST_LEVEL, normalize_level
from radishlift.wire.frames import Frame, FrameDecoder, FrameKind

_TIMEOUT_MS: Final = 2000
_MAX_BYTES: Final = 4096


@dataclass(frozen=True, slots=True)
class HelloFields:
    """Fields of a hello frame; the id of the sender is the frame's name."""

    secret: str
    format_level: int = LOWEST_LEVEL


@dataclass(frozen=True, slots=True)
class Hello:
    """A received hello: the id of its sender and its fields."""

    daemon_id: DaemonId
    fields: HelloFields


def hello_frame(daemon_id: DaemonId, fields: HelloFields) -> Frame:
    """Returns the first frame of a stream.

    At the lowest format level the only content is the secret, because
    versions without format levels accept nothing else.
    """
    plain: Any = fields.secret
    if fields.format_level > LOWEST_LEVEL:
        plain = dump_plain(fields)
    return Frame(FrameKind.hello, 0, daemon_id, plain)


async def read_hello(reader: asyncio.StreamReader) -> Hello | Failure:
    """Reads the first frame of a stream; fails with `bad_frame`.

    Reads single bytes, so that the bytes after the hello stay in the stream
    for `PeerConnection`.
    """
    decoder = FrameDecoder()
    try:
        async with asyncio.timeout(_TIMEOUT_MS / 1000):
            for _ in range(_MAX_BYTES):
                received = await reader.readexactly(1)
                frame = next(decoder.feed(received), None)
                if frame is not None:
                    return _check_hello(frame)
    except (OSError, EOFError, TimeoutError) as error:
        return Failure(ErrorKind.bad_frame, f'no hello: {error!r}')
    return Failure(ErrorKind.bad_frame, 'hello is too long')


def _check_hello(frame: Frame | Failure) -> Hello | Failure:
    if isinstance(frame, Failure):
        return frame
    if frame.kind is not FrameKind.hello:
        return Failure(ErrorKind.bad_frame, 'first frame is not a hello')
    plain = frame.fields
    if isinstance(plain, str):
        return Hello(DaemonId(frame.name), HelloFields(plain))
    fields = read_plain(plain, HelloFields)
    if isinstance(fields, Failure):
        return Failure(ErrorKind.bad_frame, f'hello: {fields.reason}')
    return Hello(DaemonId(frame.name), fields)


class PeerLevels:
    """Format levels that peers announced on their current streams."""

    def __init__(self) -> None:
        self._levels: dict[DaemonId, int] = {}

    def set_level(self, peer: DaemonId, announced: int) -> None:
        """Stores the level that a peer announced."""
        self._levels[peer] = normalize_level(announced)

    def forget(self, peer: DaemonId) -> None:
        """Removes the level of a peer whose streams have ended.

        The peer may reconnect with an older version.
        """
        self._levels.pop(peer, None)

    def level_of(self, peer: DaemonId) -> int:
        """Returns the level of a peer; the lowest level if it is unknown."""
        return self._levels.get(peer, LOWEST_LEVEL)

    def check_message_level(
        self, peer: DaemonId, message: object
    ) -> Failure | None:
        """Returns a failure if the level of a peer is too low for a message.

        The failure is `peer_unavailable`, since nothing has been sent.
        """
        needed = required_level(type(message))
        if needed <= self.level_of(peer):
            return None
        name = type(message).__name__
        reason = (
            f'{name} needs level {needed}, {peer} has {self.level_of(peer)}'
        )
        return Failure(ErrorKind.peer_unavailable, reason)


__all__ = ('Hello', 'HelloFields', 'PeerLevels', 'hello_frame', 'read_hello')
