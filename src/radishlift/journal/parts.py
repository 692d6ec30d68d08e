"""Immutable parts of a state, each stored once in an object of its own.

A snapshot refers to such parts instead of containing them. The object name
contains the writer's epoch, so that no other owner writes or replaces it.
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
# Encoding a batch takes a fraction of a millisecond, even if all entries are
# answers of the maximum stored size.
_BATCH_ENTRIES: Final = 256


@dataclass(frozen=True, slots=True)
class SealedPart:
    """A part of a state; `content` must not be changed any more."""

    name: str
    content: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class DumpWithParts:
    """A dumped state: its mutable part as plain data, and its sealed parts."""

    plain: Any
    parts: tuple[SealedPart, ...] = ()


@dataclass(frozen=True, slots=True)
class PartRef:
    """Reference to the object of a part, with the digest of its content.

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
    """Returns the object name of a part."""
    return f'segments/{partition_id}/{state}-{name}-{epoch}'


async def encode_part(part: SealedPart) -> tuple[bytes, str]:
    """Returns the encoded content of a part and its digest.

    The object is a sequence of maps. Other coroutines run between two maps; a
    thread would not help, since encoding holds the interpreter lock.
    """
    chunks: list[bytes] = []
    digest = _new_digest()
    entries = iter(part.content.items())
    while batch := dict(islice(entries, _BATCH_ENTRIES)):
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

    Loading without the part would lose idempotency keys, and retried requests
    would run again.
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
        reason = f'part {ref.object_name}: digest mismatch'
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
    'DumpWithParts',
    'SealedPart',
    'encode_part',
    'load_part',
    'part_object_name',
)
