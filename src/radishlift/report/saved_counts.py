"""Encoding of a daemon's objective counts in the object store."""

import json
import zlib
from dataclasses import dataclass
from typing import Final

from radishlift.core.codec import dump_plain, read_json
from radishlift.core.errors import ErrorKind, Failure
from radishlift.report.windows import WINDOWS

# 512 objectives with full windows take 1.5 MB of JSON.
_MAX_JSON_BYTES: Final = 4 * 1024 * 1024

SavedSlots = list[tuple[int, int, int]]


@dataclass(frozen=True, slots=True)
class SavedObjective:
    """Counts of an objective: each slot's age, good and total, per window."""

    name: str
    definition: str
    covered_ms: int
    windows: tuple[SavedSlots, ...]


@dataclass(frozen=True, slots=True)
class SavedCounts:
    """All objectives of a daemon; `saved_at_ms` is its wall time."""

    saved_at_ms: int
    objectives: tuple[SavedObjective, ...]


def encode_counts(saved: SavedCounts) -> bytes:
    """Encodes counts for the object store."""
    return zlib.compress(json.dumps(dump_plain(saved)).encode())


def decode_counts(content: bytes) -> SavedCounts | Failure:
    """Decodes and validates counts; fails with `invalid_input`."""
    decoder = zlib.decompressobj()
    try:
        text = decoder.decompress(content, _MAX_JSON_BYTES)
    except zlib.error as error:
        return Failure(ErrorKind.invalid_input, f'not compressed: {error}')
    saved = read_json(text, SavedCounts)
    if isinstance(saved, Failure):
        return saved
    for objective in saved.objectives:
        if len(objective.windows) != len(WINDOWS):
            reason = f'{objective.name} has {len(objective.windows)} windows'
            return Failure(ErrorKind.invalid_input, reason)
    return saved


__all__ = (
    'SavedCounts',
    'SavedObjective',
    'decode_counts',
    'encode_counts',
)
