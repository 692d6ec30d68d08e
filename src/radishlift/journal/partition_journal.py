"""Write-ahead journal of one owned partition, with group commit.

A record changes the owner's state before it is durable. The records of a row
that was definitely not written are therefore kept and retried: dropping them
would leave state that a new owner does not rebuild. Callers check `refusal`
before they append, and a caller that can undo its records may `cancel` them
as long as no row with them can have been written.
"""

import asyncio
from dataclasses import dataclass
from typing import Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Sequence
from radishlift.core.logs import log_event
from radishlift.journal.durability import DurabilityTracker
from radishlift.journal.inserts import InsertResult, check_claim, run_insert
from radishlift.journal.pending import PendingRecords
from radishlift.journal.recovery import RecoveryResult
from radishlift.journal.row_builder import DumpStates, PreparedRow, RowBuilder
from radishlift.journal.settings import JournalSettings
from radishlift.journal.snapshots import CapturedState
from radishlift.ownership.api import OwnerClaim
from radishlift.services.api import TableStore

_NOT_WRITTEN: Final = Failure(
    ErrorKind.store_unavailable,
    'table service does not accept journal rows',
)
_OUTCOME_UNKNOWN: Final = Failure(
    ErrorKind.store_outcome_unknown,
    'table service did not confirm whether a journal row was written',
)


@dataclass(frozen=True, slots=True)
class FlushResult:
    """Result of a flush.

    `sequence` is that of the last durable row; the counts are those of the
    rows and records that this flush made durable.
    """

    sequence: Sequence
    rows_count: int
    records_count: int


class PartitionJournal:
    """Collects records and inserts them as rows while the claim is in force.

    The caller must apply a record to its state and append it without an await
    in between, so that the state captured while a row is built is the state
    after that row. `dump` returns the dumped states for a snapshot by name.
    """

    def __init__(
        self,
        store: TableStore,
        claim: OwnerClaim,
        recovered: RecoveryResult,
        settings: JournalSettings,
        dump: DumpStates | None = None,
    ) -> None:
        self.claim = claim
        self._captured_state: CapturedState | None = None
        self._store = store
        self._settings = settings
        self._next_sequence = recovered.next_sequence
        self._row_builder = RowBuilder(claim, recovered, settings, dump)
        self._pending = PendingRecords()
        self._in_flight_row: PreparedRow | None = None
        self._durability = DurabilityTracker()
        self._lock = asyncio.Lock()
        self._last_failure: Failure | None = None

    @property
    def durable_position(self) -> int:
        """Returns the position up to which all records are durable."""
        return self._durability.durable_position

    @property
    def pending_count(self) -> int:
        """Returns the number of records not yet known to be durable."""
        sent_count = (
            len(self._in_flight_row.records) if self._in_flight_row else 0
        )
        return len(self._pending) + sent_count

    def refusal(self) -> Failure | None:
        """Returns why new records must be rejected, or None.

        The failure is `not_owner` once the partition has a new owner, and
        `store_unavailable` after a failed flush until a flush succeeds.
        """
        return self._durability.close_failure or self._last_failure

    def pop_captured_state(self) -> CapturedState | None:
        """Returns and clears the state for the next snapshot, if one is due."""
        captured = self._captured_state
        self._captured_state = None
        return captured

    def append(self, record: object) -> int | Failure:
        """Adds a record to the next row and returns its position.

        Fails with `not_owner` when the journal is closed.
        """
        if self._durability.close_failure is not None:
            return self._durability.close_failure
        return self._pending.append(record)

    def cancel(self, *positions: int) -> bool:
        """Removes records that are in no row that was sent.

        The caller reverts their effect on the state, and no later record may
        depend on them. Returns False without a change if any of them may have
        been written.
        """
        cancelled = frozenset(positions)
        if not self._pending.cancel(cancelled):
            return False
        self._durability.cancel(cancelled)
        return True

    async def wait_durable(
        self,
        position: int,
        timeout_ms: int,
    ) -> Failure | None:
        """Waits until all records up to a position are durable.

        Fails with `not_owner` when the record was not and will not be
        written, and with `store_outcome_unknown` when the outcome is unknown
        after the timeout.
        """
        return await self._durability.wait(position, timeout_ms)

    async def flush(self, max_rows: int = 1000) -> FlushResult | Failure:
        """Writes the records appended so far, in at most `max_rows` rows.

        Fails with `not_owner` once the partition has a new owner, with
        `store_unavailable` when a row was definitely not written, and with
        `store_outcome_unknown` when it may have been. Records that are not
        durable stay pending for the next flush.
        """
        async with self._lock:
            return await self._flush_rows(
                self._pending.last_position,
                max_rows,
            )

    async def _flush_rows(
        self,
        last_position: int,
        max_rows: int,
    ) -> FlushResult | Failure:
        rows_count = 0
        records_count = 0
        while self.durable_position < last_position and rows_count < max_rows:
            if self._durability.close_failure is not None:
                break
            retried = self._in_flight_row
            sent = retried or self._row_builder.build(
                self._pending,
                self._next_sequence,
            )
            if sent is None:
                break
            failure = await self._insert(
                sent, may_have_been_sent=retried is not None
            )
            if failure is not None:
                return failure
            rows_count += 1
            records_count += len(sent.records)
        return await self._finish_flush(rows_count, records_count)

    async def _finish_flush(
        self,
        rows_count: int,
        records_count: int,
    ) -> FlushResult | Failure:
        if self._durability.close_failure is not None:
            return self._durability.close_failure
        if rows_count == 0 and self._last_failure is not None:
            # There is no row whose insert would show that the outage is over,
            # so a read checks it. Otherwise `refusal` would reject new records
            # forever.
            failure = await check_claim(self._store, self.claim)
            if failure is not None and failure.kind is ErrorKind.not_owner:
                return self._close(failure.kind, failure.reason)
            if failure is not None:
                return failure
        self._last_failure = None
        last_sequence = Sequence(self._next_sequence - 1)
        return FlushResult(last_sequence, rows_count, records_count)

    async def _insert(
        self,
        sent: PreparedRow,
        *,
        may_have_been_sent: bool,
    ) -> Failure | None:
        # Set before the await: if the flush is cancelled while it waits for
        # the response, the outcome of the row is unknown.
        self._in_flight_row = sent
        outcome = await run_insert(
            self._store,
            sent.insert,
            self._settings.insert_attempts,
            may_have_been_sent=may_have_been_sent,
        )
        return self._handle_result(sent, outcome)

    def _handle_result(
        self, sent: PreparedRow, outcome: InsertResult
    ) -> Failure | None:
        match outcome:
            case InsertResult.committed:
                self._mark_durable(sent)
                return None
            case InsertResult.not_sent:
                self._in_flight_row = None
                self._pending.put_back(sent.records)
                self._last_failure = _NOT_WRITTEN
                return _NOT_WRITTEN
            case InsertResult.unsettled:
                self._last_failure = _NOT_WRITTEN
                return _OUTCOME_UNKNOWN
            case InsertResult.foreign_row:
                reason = f'another process wrote the row {sent.insert.key}'
                return self._close(ErrorKind.internal, reason)
        return self._close_deposed(sent, outcome)

    def _close_deposed(
        self,
        sent: PreparedRow,
        outcome: InsertResult,
    ) -> Failure:
        unknown_position = 0
        if outcome is InsertResult.committed_deposed:
            self._mark_durable(sent)
        elif outcome is InsertResult.deposed_unknown:
            unknown_position = sent.records[-1].position
        reason = 'owner row changed'
        return self._close(ErrorKind.not_owner, reason, unknown_position)

    def _mark_durable(self, sent: PreparedRow) -> None:
        self._in_flight_row = None
        self._next_sequence = Sequence(sent.insert.sequence + 1)
        if sent.captured_state is not None:
            self._row_builder.last_captured_sequence = (
                sent.captured_state.sequence
            )
            self._captured_state = sent.captured_state
        self._durability.mark_durable(sent.records[-1].position)

    def _close(
        self,
        kind: ErrorKind,
        reason: str,
        unknown_position: int = 0,
    ) -> Failure:
        failure = Failure(kind, f'{self.claim.partition_id}: {reason}')
        log_event(
            'journal_closed',
            partition=self.claim.partition_id,
            epoch=self.claim.epoch,
            reason=reason,
        )
        self._in_flight_row = None
        self._durability.close(failure, unknown_position)
        return failure


__all__ = ('FlushResult', 'PartitionJournal')
