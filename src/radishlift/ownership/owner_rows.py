"""Rows of the `owners` table and the conditional writes that change them."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, Epoch, Incarnation, PartitionId
from radishlift.core.logs import log_event
from radishlift.membership.daemon_rows import scan_all
from radishlift.ownership.api import OWNERS_TABLE, OwnerClaim
from radishlift.services.api import (
    Condition,
    Conflict,
    Row,
    TableStore,
    Transaction,
    Write,
)

_NOBODY: Final = DaemonId('')
_NO_INCARNATION: Final = Incarnation('')


@dataclass(frozen=True, slots=True)
class OwnerRow:
    """The owner of a partition; `daemon_id` is empty after a release.

    A released row stays, so that the next claim has a higher epoch.
    """

    daemon_id: DaemonId
    incarnation: Incarnation
    epoch: Epoch

    @property
    def is_free(self) -> bool:
        """Returns whether the partition was released or never owned."""
        return self.daemon_id == _NOBODY

    def released(self) -> 'OwnerRow':
        """Returns the row that releases the partition."""
        return OwnerRow(_NOBODY, _NO_INCARNATION, self.epoch)


@dataclass(frozen=True, slots=True)
class StoredOwner:
    """An owner row as read; version 0 means that it is absent."""

    partition_id: PartitionId
    version: int
    row: OwnerRow

    @property
    def claim(self) -> OwnerClaim:
        """Returns the proof of ownership for the owner in the row."""
        return OwnerClaim(self.partition_id, self.row.epoch, self.version)


def absent_owner(partition_id: PartitionId) -> StoredOwner:
    """Returns the owner of a partition without a row."""
    row = OwnerRow(_NOBODY, _NO_INCARNATION, Epoch(0))
    return StoredOwner(partition_id, 0, row)


def parse_owner(row: Row) -> StoredOwner | Failure:
    """Parses a stored row."""
    partition_id = PartitionId(row.key)
    if not row.version:
        return absent_owner(partition_id)
    parsed = read_plain(row.value, OwnerRow)
    if isinstance(parsed, Failure):
        reason = f'owner row {row.key}: {parsed.reason}'
        return Failure(ErrorKind.internal, reason)
    return StoredOwner(partition_id, row.version, parsed)


async def scan_owners(
    store: TableStore,
) -> dict[PartitionId, StoredOwner] | Failure:
    """Reads all owner rows, except those that can't be parsed."""
    rows = await scan_all(store, OWNERS_TABLE)
    if isinstance(rows, Failure):
        return rows
    owners: dict[PartitionId, StoredOwner] = {}
    for row in rows:
        stored = parse_owner(row)
        if isinstance(stored, Failure):
            log_event('bad_owner_row', reason=stored.reason)
        else:
            owners[stored.partition_id] = stored
    return owners


async def read_owner(
    store: TableStore, partition_id: PartitionId
) -> StoredOwner | Failure:
    """Reads the owner row of a partition."""
    row = await store.read(OWNERS_TABLE, partition_id)
    return row if isinstance(row, Failure) else parse_owner(row)


async def replace_owner(
    store: TableStore,
    stored: StoredOwner,
    row: OwnerRow,
    attempts: int,
) -> StoredOwner | Failure:
    """Replaces an owner row if its version is still that of `stored`.

    After a lost response the same write is retried: the row in the conflict
    shows whether the first one took effect. Returns the row that is in force,
    which is the given one or that of another claimant. Fails with
    `store_unavailable` when the write had no effect and with
    `store_outcome_unknown` when it may have had one.
    """
    transaction = Transaction(
        (Condition(OWNERS_TABLE, stored.partition_id, stored.version),),
        (Write(OWNERS_TABLE, stored.partition_id, dump_plain(row)),),
    )
    unknown: Failure | None = None
    for _ in range(attempts):
        outcome = await store.commit(transaction)
        if isinstance(outcome, Conflict):
            return parse_owner(outcome.rows[0])
        if not isinstance(outcome, Failure):
            return StoredOwner(stored.partition_id, outcome.versions[0], row)
        if outcome.kind is ErrorKind.store_unavailable:
            return unknown or outcome
        unknown = outcome
    return Failure(
        ErrorKind.store_outcome_unknown,
        f'owner row {stored.partition_id} could not be confirmed',
    )


__all__ = (
    'OwnerRow',
    'StoredOwner',
    'parse_owner',
    'read_owner',
    'replace_owner',
    'scan_owners',
    'absent_owner',
)
