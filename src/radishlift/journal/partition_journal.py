"""Write-ahead journal of one owned partition, with group commit.

A record changes the state of its owner at once, before it is durable. A row
that certainly failed is therefore kept and retried: dropping it would leave
state that no successor rebuilds. Callers avoid the situation by asking
`refusal` before they append, and a caller that can undo its records may
`withdraw` them while no row with them can have been written.
"""

import asyncio
from dataclasses import dataclass
from typing import Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Sequence
from radishlift.core.logs import log_event
from radishlift.journal.durability import DurabilityTracker
from radishlift.journal.forming import Dump, FormedRow, RowFormer
from radishlift.journal.inserts import InsertResult, check_claim, run_insert
from radishlift.journal.pending import PendingRecords
from radishlift.journal.recovery import Recovered
from radishlift.journal.settings import JournalSettings
from radishlift.journal.snapshots import CapturedState
from radishlift.ownership.api import OwnerClaim
from radishlift.services.api import TableStore

_NOT_WRITTEN: Final = Failure(
    ErrorKind.store_unavailable,
    'table service does not take journal rows',
)
_UNSETTLED: Final = Failure(
    ErrorKind.store_outcome_unknown,
    'table service does not answer whether a journal row was written',
)


@dataclass(frozen=True, slots=True)
class Flushed:
    """The rows that a flush made durable; the last one has `sequence`."""

    sequence: Sequence
    rows_count: int
    records_count: int


class PartitionJournal:
    """Collects records and inserts them as rows on the owner's condition.

    The caller applies a record to its state and appends it without awaiting
    in between, so that a state captured while a row is formed is the state
    after that row. `dump` returns the states for a snapshot, by name.
    """

    def __init__(
        self,
        store: TableStore,
        claim: OwnerClaim,
        recovered: Recovered,
        settings: JournalSettings,
        dump: Dump | None = None,
    ) -> None:
        self.claim = claim
        self._captured: CapturedState | None = None
        self._store = store
        self._settings = settings
        self._next_sequence = recovered.next_sequence
        self._former = RowFormer(claim, recovered, settings, dump)
        self._pending = PendingRecords()
        self._sent: FormedRow | None = None
        self._durability = DurabilityTracker()
        self._lock = asyncio.Lock()
        self._last_failure: Failure | None = None

    @property
    def durable_position(self) -> int:
        """Returns the last position up to which records are durable."""
        return self._durability.durable_position

    @property
    def pending_count(self) -> int:
        """Counts records that are not yet known to be durable."""
        sent_count = len(self._sent.entries) if self._sent else 0
        return len(self._pending) + sent_count

    def refusal(self) -> Failure | None:
        """Returns why nothing new may be accepted, if so.

        It is `not_owner` for a deposed journal and `store_unavailable` from a
        failed flush until the next one that succeeds.
        """
        return self._durability.closed or self._last_failure

    def take_captured(self) -> CapturedState | None:
        """Returns the state for the next snapshot once one is due."""
        captured = self._captured
        self._captured = None
        return captured

    def append(self, record: object) -> int | Failure:
        """Adds a record to the next row and returns its position.

        Fails with `not_owner` when the journal is closed.
        """
        if self._durability.closed is not None:
            return self._durability.closed
        return self._pending.append(record)

    def withdraw(self, *positions: int) -> bool:
        """Removes records that certainly are in no row that was sent.

        The caller undoes their effect on the state, and no later record may
        depend on them. Returns False, and removes none, if one of them may
        have been written.
        """
        withdrawn = frozenset(positions)
        if not self._pending.withdraw(withdrawn):
            return False
        self._durability.withdraw(withdrawn)
        return True

    async def wait_durable(
        self,
        position: int,
        timeout_ms: int,
    ) -> Failure | None:
        """Waits until all records up to a position are durable.

        Fails with `not_owner` when the record certainly is not and will not
        be written, and with `store_outcome_unknown` when that isn't known
        within the time.
        """
        return await self._durability.wait(position, timeout_ms)

    async def flush(self, max_rows: int = 1000) -> Flushed | Failure:
        """Makes the records appended so far durable, in at most some rows.

        Fails with `not_owner` once deposed, with `store_unavailable` when the
        first row not written certainly was not, and with
        `store_outcome_unknown` when it may have been. Records that are not
        durable stay for the next flush.
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
    ) -> Flushed | Failure:
        rows_count = 0
        records_count = 0
        while self.durable_position < last_position and rows_count < max_rows:
            if self._durability.closed is not None:
                break
            retried = self._sent
            sent = retried or self._former.form(
                self._pending,
                self._next_sequence,
            )
            if sent is None:
                break
            failure = await self._insert(sent, may_be_sent=retried is not None)
            if failure is not None:
                return failure
            rows_count += 1
            records_count += len(sent.entries)
        return await self._finish_flush(rows_count, records_count)

    async def _finish_flush(
        self,
        rows_count: int,
        records_count: int,
    ) -> Flushed | Failure:
        if self._durability.closed is not None:
            return self._durability.closed
        if rows_count == 0 and self._last_failure is not None:
            # With no row to insert, a read tells whether the outage is over;
            # else nothing would be accepted again.
            failure = await check_claim(self._store, self.claim)
            if failure is not None and failure.kind is ErrorKind.not_owner:
                return self._close(failure.kind, failure.reason)
            if failure is not None:
                return failure
        self._last_failure = None
        last_sequence = Sequence(self._next_sequence - 1)
        return Flushed(last_sequence, rows_count, records_count)

    async def _insert(
        self,
        sent: FormedRow,
        *,
        may_be_sent: bool,
    ) -> Failure | None:
        # Set before the await: a flush cancelled while it waits for the
        # answer leaves a row of unknown outcome.
        self._sent = sent
        outcome = await run_insert(
            self._store,
            sent.insert,
            self._settings.insert_attempts,
            may_be_sent=may_be_sent,
        )
        return self._settle(sent, outcome)

    def _settle(self, sent: FormedRow, outcome: InsertResult) -> Failure | None:
        match outcome:
            case InsertResult.committed:
                self._mark_durable(sent)
                return None
            case InsertResult.not_sent:
                self._sent = None
                self._pending.put_back(sent.entries)
                self._last_failure = _NOT_WRITTEN
                return _NOT_WRITTEN
            case InsertResult.unsettled:
                self._last_failure = _NOT_WRITTEN
                return _UNSETTLED
            case InsertResult.foreign_row:
                reason = f'foreign row at {sent.insert.key}'
                return self._close(ErrorKind.internal, reason)
        return self._settle_deposed(sent, outcome)

    def _settle_deposed(
        self,
        sent: FormedRow,
        outcome: InsertResult,
    ) -> Failure:
        unknown_position = 0
        if outcome is InsertResult.committed_deposed:
            self._mark_durable(sent)
        elif outcome is InsertResult.deposed_unknown:
            unknown_position = sent.entries[-1].position
        reason = 'owner row changed'
        return self._close(ErrorKind.not_owner, reason, unknown_position)

    def _mark_durable(self, sent: FormedRow) -> None:
        self._sent = None
        self._next_sequence = Sequence(sent.insert.sequence + 1)
        if sent.captured is not None:
            self._former.last_capture = sent.captured.sequence
            self._captured = sent.captured
        self._durability.mark_durable(sent.entries[-1].position)

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
        self._sent = None
        self._durability.close(failure, unknown_position)
        return failure


__all__ = ('Flushed', 'PartitionJournal')
