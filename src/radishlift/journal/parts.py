"""Parts of a state that can't change any more, stored once each.

A snapshot names such parts by a reference instead of holding them. An object
of a part is named by the epoch of its writer, so that no other owner ever
writes or replaces it.
"""

import asyncio
from dataclasses import dataclass
from hashlib import blake2b
from itertools import islice
from typing import Any, Final

from msgpack import Unpacker, packb

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Epoch, PartitionId
from radishlift.services.api import ObjectStore

_DIGEST_BYTES: Final = 16
# Takes a fraction of a millisecond with answers of the longest kept size.
_BATCH_COUNT: Final = 256


@dataclass(frozen=True, slots=True)
class SealedPart:
    """A part of a state; nothing changes `content` from now on."""

    name: str
    content: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class PartedDump:
    """A dumped state: what may change as plain data, and sealed parts."""

    plain: Any
    parts: tuple[SealedPart, ...] = ()


@dataclass(frozen=True, slots=True)
class PartRef:
    """Names the object of a part, with the digest of its content.

    `state` is the class name of the state that the part belongs to.
    """

    state: str
    name: str
    object_name: str
    digest: str


def part_object_name(
    partition_id: PartitionId,
    epoch: Epoch,
    state: str,
    name: str,
) -> str:
    """Returns the name of the object of a part."""
    return f'segments/{partition_id}/{state}-{name}-{epoch}'


async def encode_part(part: SealedPart) -> tuple[bytes, str]:
    """Returns the content of the object of a part, and its digest.

    The object is a sequence of maps, with a turn of the loop for others
    between them. In a thread it would hold the interpreter for as long.
    """
    chunks: list[bytes] = []
    digest = _new_digest()
    entries = iter(part.content.items())
    while batch := dict(islice(entries, _BATCH_COUNT)):
        chunk: bytes = packb(batch)
        digest.update(chunk)
        chunks.append(chunk)
        await asyncio.sleep(0)
    return b''.join(chunks), digest.hexdigest()


async def load_part(
    object_store: ObjectStore,
    ref: PartRef,
) -> SealedPart | Failure:
    """Reads a part; fails with `internal` when it is missing or damaged.

    A table without the part would forget keys, and repeats would run again.
    """
    encoded = await object_store.get(ref.object_name)
    if isinstance(encoded, Failure):
        reason = f'part {ref.object_name}: {encoded.reason}'
        is_missing = encoded.kind is ErrorKind.not_found
        kind = ErrorKind.internal if is_missing else encoded.kind
        return Failure(kind, reason)
    digest = _new_digest()
    digest.update(encoded)
    if digest.hexdigest() != ref.digest:
        reason = f'part {ref.object_name}: its content has another digest'
        return Failure(ErrorKind.internal, reason)
    entries: dict[str, bytes] = {}
    unpacker = Unpacker()
    unpacker.feed(encoded)
    for batch in unpacker:
        entries.update(batch)
        await asyncio.sleep(0)
    return SealedPart(ref.name, entries)


def _new_digest() -> blake2b:
    return blake2b(digest_size=_DIGEST_BYTES)


__all__ = (
    'PartRef',
    'PartedDump',
    'SealedPart',
    'encode_part',
    'load_part',
    'part_object_name',
)
