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
    """The owner of a partition; an empty `daemon_id` after a release.

    A released row stays, so that the next claim has a higher epoch.
    """

    daemon_id: DaemonId
    incarnation: Incarnation
    epoch: Epoch

    @property
    def is_free(self) -> bool:
        """Tells whether the partition was released or never owned."""
        return self.daemon_id == _NOBODY

    def released(self) -> 'OwnerRow':
        """Returns the row after its owner released the partition."""
        return OwnerRow(_NOBODY, _NO_INCARNATION, self.epoch)


@dataclass(frozen=True, slots=True)
class SeenOwner:
    """An owner row as read; version 0 means that it is absent."""

    partition_id: PartitionId
    version: int
    row: OwnerRow

    @property
    def claim(self) -> OwnerClaim:
        """Returns the proof of ownership for the owner in the row."""
        return OwnerClaim(self.partition_id, self.row.epoch, self.version)


def unclaimed(partition_id: PartitionId) -> SeenOwner:
    """Returns what is seen of a partition without a row."""
    row = OwnerRow(_NOBODY, _NO_INCARNATION, Epoch(0))
    return SeenOwner(partition_id, 0, row)


def parse_owner(row: Row) -> SeenOwner | Failure:
    """Reads a stored row."""
    partition_id = PartitionId(row.key)
    if not row.version:
        return unclaimed(partition_id)
    parsed = read_plain(row.value, OwnerRow)
    if isinstance(parsed, Failure):
        reason = f'owner row {row.key}: {parsed.reason}'
        return Failure(ErrorKind.internal, reason)
    return SeenOwner(partition_id, row.version, parsed)


async def scan_owners(
    store: TableStore,
) -> dict[PartitionId, SeenOwner] | Failure:
    """Reads all owner rows; one that is unreadable is left out."""
    rows = await scan_all(store, OWNERS_TABLE)
    if isinstance(rows, Failure):
        return rows
    owners: dict[PartitionId, SeenOwner] = {}
    for row in rows:
        seen = parse_owner(row)
        if isinstance(seen, Failure):
            log_event('bad_owner_row', reason=seen.reason)
        else:
            owners[seen.partition_id] = seen
    return owners


async def replace_owner(
    store: TableStore,
    seen: SeenOwner,
    row: OwnerRow,
    attempts: int,
) -> SeenOwner | Failure:
    """Replaces an owner row if it is still the one that was seen.

    A lost answer is settled by repeating the same write: the row in the
    conflict tells whether the first one took effect. Returns the row that is
    in force, which is the given one or that of a faster claimant. Fails with
    `store_unavailable` when the write certainly had no effect and with
    `store_outcome_unknown` when it may have.
    """
    transaction = Transaction(
        (Condition(OWNERS_TABLE, seen.partition_id, seen.version),),
        (Write(OWNERS_TABLE, seen.partition_id, dump_plain(row)),),
    )
    unknown: Failure | None = None
    for _ in range(attempts):
        outcome = await store.commit(transaction)
        if isinstance(outcome, Conflict):
            return parse_owner(outcome.rows[0])
        if not isinstance(outcome, Failure):
            return SeenOwner(seen.partition_id, outcome.versions[0], row)
        if outcome.kind is ErrorKind.store_unavailable:
            return unknown or outcome
        unknown = outcome
    return Failure(
        ErrorKind.store_outcome_unknown,
        f'owner row {seen.partition_id} is not settled',
    )


__all__ = (
    'OwnerRow',
    'SeenOwner',
    'parse_owner',
    'replace_owner',
    'scan_owners',
    'unclaimed',
)
