"""Snapshots of a partition's state in the object store."""

from collections.abc import Iterable, Mapping
from collections.abc import Sequence as Items
from dataclasses import dataclass, field
from typing import Any, Final

from msgpack import packb, unpackb

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import PartitionId, Sequence
from radishlift.core.kinds import RECORDS, UnknownFormat, UnknownFormatError
from radishlift.core.levels import LOWEST_LEVEL
from radishlift.journal.api import JournaledState
from radishlift.journal.parts import (
    DumpWithParts,
    PartRef,
    SealedPart,
    load_part,
)
from radishlift.journal.snapshot_rows import (
    SNAPSHOTS_TABLE,
    SnapshotRow,
    parse_snapshot_row,
)
from radishlift.services.api import ObjectStore, TableStore

_FORMAT_VERSION: Final = 1

PartId = tuple[str, str]
"""Class name of the state and name of the part."""


@dataclass(frozen=True, slots=True)
class SnapshotContent:
    """Content of a snapshot object: the dumps of states by class name."""

    format: int
    partition_id: PartitionId
    sequence: Sequence
    states: dict[str, Any]
    parts: list[PartRef] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CapturedState:
    """The dumped states of a partition after all rows up to a sequence."""

    sequence: Sequence
    dumped: dict[str, Any]

    @property
    def can_have_parts(self) -> bool:
        """Returns whether a state may have parts, now or later."""
        return any(
            isinstance(dumped, DumpWithParts) for dumped in self.dumped.values()
        )

    @property
    def parts(self) -> dict[PartId, SealedPart]:
        """Returns the sealed parts by state and name."""
        return {
            (state, part.name): part
            for state, dumped in self.dumped.items()
            if isinstance(dumped, DumpWithParts)
            for part in dumped.parts
        }


@dataclass(frozen=True, slots=True)
class LoadedSnapshot:
    """Sequence of the loaded snapshot, 0 without one, and its parts."""

    sequence: Sequence
    parts: tuple[PartRef, ...] = ()


def dump_states(states: Items[JournaledState]) -> dict[str, Any]:
    """Returns the dumped states by class name.

    An empty state is left out if all its record types need a newer format
    level, so that daemons of the previous version, which do not know the
    state, can read the snapshot.
    """
    dumped = ((state, state.dump()) for state in states)
    return {
        type(state).__name__: plain
        for state, plain in dumped
        if plain or not _needs_newer_level(state)
    }


def _needs_newer_level(state: JournaledState) -> bool:
    levels = map(RECORDS.level_of, state.record_types)
    return min(levels, default=LOWEST_LEVEL) > LOWEST_LEVEL


def encode_snapshot(
    partition_id: PartitionId,
    captured: CapturedState,
    parts: Iterable[PartRef] = (),
) -> bytes:
    """Encodes the content of a snapshot object, with references to parts."""
    plain = {
        state: dumped.plain if isinstance(dumped, DumpWithParts) else dumped
        for state, dumped in captured.dumped.items()
    }
    return packb(
        {
            'format': _FORMAT_VERSION,
            'partition_id': partition_id,
            'sequence': captured.sequence,
            'states': plain,
            'parts': [dump_plain(ref) for ref in parts],
        }
    )


async def load_snapshot(
    store: TableStore,
    object_store: ObjectStore,
    partition_id: PartitionId,
    states: Items[JournaledState],
) -> LoadedSnapshot | Failure:
    """Loads the snapshot and its parts into the states.

    A state that the snapshot does not contain stays unchanged.
    """
    row = await store.read(SNAPSHOTS_TABLE, partition_id)
    if isinstance(row, Failure):
        return row
    snapshot_row = parse_snapshot_row(row)
    if isinstance(snapshot_row, Failure) or not snapshot_row.object_name:
        absent = LoadedSnapshot(Sequence(0))
        return snapshot_row if isinstance(snapshot_row, Failure) else absent
    encoded = await object_store.get(snapshot_row.object_name)
    if isinstance(encoded, Failure):
        reason = f'snapshot {snapshot_row.object_name}: {encoded.reason}'
        return Failure(encoded.kind, reason)
    content = _decode(encoded, partition_id, snapshot_row)
    if isinstance(content, Failure):
        return content
    parts = await _load_parts(object_store, content.parts)
    if isinstance(parts, Failure):
        return parts
    failure = _load_states(content, parts, states)
    if failure is not None:
        return failure
    return LoadedSnapshot(content.sequence, tuple(content.parts))


async def _load_parts(
    object_store: ObjectStore,
    refs: Iterable[PartRef],
) -> dict[str, list[SealedPart]] | Failure:
    parts: dict[str, list[SealedPart]] = {}
    for ref in refs:
        part = await load_part(object_store, ref)
        if isinstance(part, Failure):
            return part
        parts.setdefault(ref.state, []).append(part)
    return parts


def _decode(
    encoded: bytes,
    partition_id: PartitionId,
    snapshot_row: SnapshotRow,
) -> SnapshotContent | Failure:
    try:
        plain = unpackb(encoded, strict_map_key=False)
    except ValueError as error:
        return _damaged(snapshot_row, repr(error))
    # Checked before the fields, which may differ in another format.
    found_format = plain.get('format') if isinstance(plain, dict) else None
    if type(found_format) is int and found_format != _FORMAT_VERSION:
        reason = f'{snapshot_row.object_name}: unknown format {found_format}'
        return UnknownFormat(ErrorKind.internal, reason)
    content = read_plain(plain, SnapshotContent)
    if isinstance(content, Failure):
        return _damaged(snapshot_row, content.reason)
    found = (content.partition_id, content.sequence)
    if found != (partition_id, snapshot_row.sequence):
        return _damaged(snapshot_row, f'content belongs to {found}')
    return content


def _load_states(
    content: SnapshotContent,
    parts: Mapping[str, list[SealedPart]],
    states: Items[JournaledState],
) -> Failure | None:
    by_name = {type(state).__name__: state for state in states}
    unknown = set(content.states) - set(by_name)
    if unknown:
        reason = f'snapshot contains unknown states {sorted(unknown)}'
        return UnknownFormat(ErrorKind.internal, reason)
    for name, dumped in content.states.items():
        held = tuple(parts.get(name, ()))
        try:
            by_name[name].load(DumpWithParts(dumped, held) if held else dumped)
        except UnknownFormatError as error:
            return UnknownFormat(ErrorKind.internal, f'{name}: {error}')
    return None


def _damaged(snapshot_row: SnapshotRow, reason: str) -> Failure:
    return Failure(ErrorKind.internal, f'{snapshot_row.object_name}: {reason}')


__all__ = (
    'CapturedState',
    'LoadedSnapshot',
    'PartId',
    'dump_states',
    'encode_snapshot',
    'load_snapshot',
)
