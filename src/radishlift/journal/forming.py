"""Forms rows from pending records, and captures states for snapshots."""

from collections.abc import Callable
from dataclasses import dataclass
from secrets import token_hex
from typing import Any, Final

from radishlift.core.ids import Sequence
from radishlift.journal.inserts import Insert
from radishlift.journal.pending import PendingRecord, PendingRecords
from radishlift.journal.recovery import Recovered
from radishlift.journal.rows import JournalRow
from radishlift.journal.settings import JournalSettings
from radishlift.journal.snapshots import CapturedState
from radishlift.ownership.api import OwnerClaim

_NONCE_BYTES: Final = 6

Dump = Callable[[], dict[str, Any]]


@dataclass(frozen=True, slots=True)
class FormedRow:
    """A row to insert, its records and the state after it if captured."""

    insert: Insert
    entries: list[PendingRecord]
    captured: CapturedState | None


class RowFormer:
    """Forms the rows of one writer, each with a nonce of its own."""

    def __init__(
        self,
        claim: OwnerClaim,
        recovered: Recovered,
        settings: JournalSettings,
        dump: Dump | None,
    ) -> None:
        self.last_capture = recovered.snapshot_sequence
        self._claim = claim
        self._settings = settings
        self._dump = dump
        self._writer = token_hex(_NONCE_BYTES)
        self._formed_count = 0

    def form(
        self,
        pending: PendingRecords,
        sequence: Sequence,
    ) -> FormedRow | None:
        """Takes pending records for one row; None if there are none."""
        entries = pending.take(self._settings.row_bytes)
        if not entries:
            return None
        self._formed_count += 1
        row = JournalRow(
            self._claim.epoch,
            f'{self._writer}.{self._formed_count}',
            [entry.stored for entry in entries],
        )
        # Records that stay pending have already changed the state, so only
        # a row that takes all of them has the state as its result.
        captured = None if len(pending) else self._capture(sequence)
        insert = Insert(self._claim, sequence, row)
        return FormedRow(insert, entries, captured)

    def _capture(self, sequence: Sequence) -> CapturedState | None:
        rows_count = sequence - self.last_capture
        if self._dump is None:
            return None
        if rows_count < self._settings.snapshot_rows_count:
            return None
        return CapturedState(sequence, self._dump())


__all__ = ('Dump', 'FormedRow', 'RowFormer')
