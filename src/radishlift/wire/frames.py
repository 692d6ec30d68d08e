"""Frames of the streams between daemons, encoded as msgpack.

A frame is an array `[version, kind, call_id, name, fields]`. Further elements,
which a newer version may add, are ignored. The first frame of a connection is
a hello with the id of the sending daemon.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Any, Final

from msgpack import Unpacker, packb
from msgpack.exceptions import UnpackException

from radishlift.core.errors import ErrorKind, Failure

FRAME_VERSION: Final = 1
MAX_FRAME_BYTES: Final = 1024 * 1024

_READ_BYTES: Final = 4096


@unique
class FrameKind(IntEnum):
    """Purpose of a frame."""

    hello = 0
    one_way = 1
    call = 2
    reply = 3
    failure = 4


_KINDS: Final = {int(kind): kind for kind in FrameKind}


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame; a reply has the `call_id` of its call."""

    kind: FrameKind
    call_id: int
    name: str
    fields: Any


def encode_frame(frame: Frame) -> bytes | Failure:
    """Encodes a frame; fails with `too_large` above `MAX_FRAME_BYTES`."""
    encoded = packb(
        [
            FRAME_VERSION,
            int(frame.kind),
            frame.call_id,
            frame.name,
            frame.fields,
        ]
    )
    if len(encoded) > MAX_FRAME_BYTES:
        reason = f'frame of {len(encoded)} bytes, at most {MAX_FRAME_BYTES}'
        return Failure(ErrorKind.too_large, reason)
    return encoded


class FrameDecoder:
    """Decodes a stream of bytes into frames."""

    def __init__(self) -> None:
        # With the default read size each stream would allocate 1 MiB in
        # advance. The buffer grows when a larger frame arrives.
        self._unpacker = Unpacker(
            max_buffer_size=2 * MAX_FRAME_BYTES,
            read_size=_READ_BYTES,
        )

    def feed(self, received: bytes) -> Iterator[Frame | Failure]:
        """Yields the frames that these bytes complete.

        After a `bad_frame` failure the caller must close the connection.
        """
        try:
            self._unpacker.feed(received)
            for plain in self._unpacker:
                yield _check_frame(plain)
        except (UnpackException, ValueError) as error:
            yield Failure(ErrorKind.bad_frame, f'not msgpack: {error!r}')


def _check_frame(plain: object) -> Frame | Failure:
    match plain:
        case [int(version), int(kind), int(call_id), str(name), fields, *_]:
            if version != FRAME_VERSION:
                return Failure(ErrorKind.bad_frame, f'version {version}')
            known = _KINDS.get(kind)
            if known is None:
                return Failure(ErrorKind.bad_frame, f'frame kind {kind}')
            return Frame(known, call_id, name, fields)
    return Failure(ErrorKind.bad_frame, 'not a frame')


__all__ = (
    'FRAME_VERSION',
    'MAX_FRAME_BYTES',
    'Frame',
    'FrameDecoder',
    'FrameKind',
    'encode_frame',
)
