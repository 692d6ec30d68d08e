"""Stored form of the row that refers to a partition's snapshot."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.codec import read_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import PartitionId, Sequence
from radishlift.services.api import Row, TableStore

SNAPSHOTS_TABLE: Final = 'snapshots'


@dataclass(frozen=True, slots=True)
class SnapshotRow:
    """Refers to the object with the state after all rows up to a sequence.

    `parts` are the objects of sealed parts that the snapshot refers to.
    `leftover` are other objects that may exist: replaced ones, and those that
    a writer is about to store. The object store can't list its objects, so an
    object is listed here from before it is written until it is deleted.
    """

    object_name: str
    sequence: Sequence
    parts: tuple[str, ...] = ()
    leftover: tuple[str, ...] = ()

    @property
    def in_use(self) -> frozenset[str]:
        """Returns the objects that the snapshot needs."""
        return frozenset((self.object_name, *self.parts))


def parse_snapshot_row(row: Row) -> SnapshotRow | Failure:
    """Parses a stored row.

    An absent row yields an empty object name and sequence 0.
    """
    if not row.version:
        return SnapshotRow('', Sequence(0))
    parsed = read_plain(row.value, SnapshotRow)
    if isinstance(parsed, Failure):
        reason = f'snapshot row of {row.key}: {parsed.reason}'
        return Failure(ErrorKind.internal, reason)
    return parsed


async def read_snapshot_sequence(
    store: TableStore,
    partition_id: PartitionId,
) -> Sequence | Failure:
    """Reads the sequence up to which the snapshot covers rows.

    Returns 0 without a snapshot.
    """
    row = await store.read(SNAPSHOTS_TABLE, partition_id)
    if isinstance(row, Failure):
        return row
    parsed = parse_snapshot_row(row)
    return parsed if isinstance(parsed, Failure) else parsed.sequence


__all__ = (
    'SNAPSHOTS_TABLE',
    'SnapshotRow',
    'parse_snapshot_row',
    'read_snapshot_sequence',
)
