"""Conditional insert of a journal row, retried until its result is known."""

from dataclasses import dataclass
from enum import Enum, unique

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Sequence
from radishlift.journal.rows import (
    JOURNAL_TABLE,
    JournalRow,
    parse_row,
    plain_row,
    row_key,
)
from radishlift.journal.snapshot_rows import read_snapshot_sequence
from radishlift.ownership.api import OwnerClaim
from radishlift.services.api import (
    Condition,
    Conflict,
    Row,
    TableStore,
    Transaction,
    Write,
)


@unique
class InsertResult(Enum):
    """Result of an insert.

    `unsettled` means that the row may have been written, or may still be
    written by a delayed request; `deposed_unknown` that the owner lost the
    partition and cannot find out. `foreign_row` means that another process
    wrote the row although the claim is in force.
    """

    committed = 'committed'
    committed_deposed = 'committed_deposed'
    not_sent = 'not_sent'
    unsettled = 'unsettled'
    deposed = 'deposed'
    deposed_unknown = 'deposed_unknown'
    foreign_row = 'foreign_row'


@dataclass(frozen=True, slots=True)
class Insert:
    """A row to insert; every retry sends the identical transaction."""

    claim: OwnerClaim
    sequence: Sequence
    row: JournalRow

    @property
    def key(self) -> str:
        """Returns the key of the row."""
        return row_key(self.claim.partition_id, self.sequence)

    def transaction(self) -> Transaction:
        """Returns a write that requires an absent row and a claim in force."""
        return Transaction(
            (Condition(JOURNAL_TABLE, self.key, 0), self.claim.condition),
            (Write(JOURNAL_TABLE, self.key, plain_row(self.row)),),
        )


async def run_insert(
    store: TableStore,
    insert: Insert,
    attempts: int,
    *,
    may_have_been_sent: bool,
) -> InsertResult:
    """Sends an insert until its result is known or attempts run out.

    `may_have_been_sent` is true if an earlier request for this row has an
    unknown outcome. The store rejecting a retry then does not show that the
    earlier request failed.
    """
    for _ in range(attempts):
        outcome = await store.commit(insert.transaction())
        if isinstance(outcome, Conflict):
            return await _classify_conflict(store, insert, outcome)
        if not isinstance(outcome, Failure):
            return InsertResult.committed
        if outcome.kind is ErrorKind.store_unavailable:
            break
        may_have_been_sent = True
    return (
        InsertResult.unsettled if may_have_been_sent else InsertResult.not_sent
    )


async def check_claim(
    store: TableStore,
    claim: OwnerClaim,
) -> Failure | None:
    """Checks in the store whether a claim is still in force.

    Fails with `not_owner` when it is not, and with an error kind of the store
    when the owner row can't be read.
    """
    row = await store.read(claim.condition.table, claim.condition.key)
    if isinstance(row, Failure):
        return row
    if row.version != claim.owner_row_version:
        return Failure(ErrorKind.not_owner, 'owner row changed')
    return None


async def _classify_conflict(
    store: TableStore,
    insert: Insert,
    conflict: Conflict,
) -> InsertResult:
    is_deposed = any(
        row.table == insert.claim.condition.table
        and row.version != insert.claim.owner_row_version
        for row in conflict.rows
    )
    present = _existing_row(insert, conflict.rows)
    if present is not None and _is_own_row(insert, present):
        if is_deposed:
            return InsertResult.committed_deposed
        return InsertResult.committed
    if not is_deposed:
        return InsertResult.foreign_row
    if present is not None:
        # The new owner used this sequence, so it had found no row there.
        return InsertResult.deposed
    return await _classify_absent_row(store, insert)


async def _classify_absent_row(
    store: TableStore, insert: Insert
) -> InsertResult:
    # A new owner deletes the rows that its snapshot covers, so an absent row
    # was certainly never written only if no snapshot covers its sequence.
    covered = await read_snapshot_sequence(store, insert.claim.partition_id)
    if isinstance(covered, Failure) or covered >= insert.sequence:
        return InsertResult.deposed_unknown
    return InsertResult.deposed


def _existing_row(insert: Insert, rows: tuple[Row, ...]) -> Row | None:
    for row in rows:
        if row.table == JOURNAL_TABLE and row.key == insert.key:
            return row if row.version else None
    return None


def _is_own_row(insert: Insert, present: Row) -> bool:
    parsed = parse_row(present)
    return not isinstance(parsed, Failure) and parsed.nonce == insert.row.nonce


__all__ = ('Insert', 'InsertResult', 'check_claim', 'run_insert')
