"""Builds journal rows and captures the state for snapshots."""

from collections.abc import Callable
from dataclasses import dataclass
from secrets import token_hex
from typing import Any, Final

from radishlift.core.ids import Sequence
from radishlift.journal.inserts import Insert
from radishlift.journal.pending import PendingRecord, PendingRecords
from radishlift.journal.recovery import RecoveryResult
from radishlift.journal.rows import JournalRow
from radishlift.journal.settings import JournalSettings
from radishlift.journal.snapshots import CapturedState
from radishlift.ownership.api import OwnerClaim

_NONCE_BYTES: Final = 6

DumpStates = Callable[[], dict[str, Any]]


@dataclass(frozen=True, slots=True)
class PreparedRow:
    """A row to insert with its records.

    `captured_state` is the state after the row, None if it was not captured.
    """

    insert: Insert
    records: list[PendingRecord]
    captured_state: CapturedState | None


class RowBuilder:
    """Builds the rows of one writer, each with a unique nonce."""

    def __init__(
        self,
        claim: OwnerClaim,
        recovered: RecoveryResult,
        settings: JournalSettings,
        dump: DumpStates | None,
    ) -> None:
        self.last_captured_sequence = recovered.snapshot_sequence
        self._claim = claim
        self._settings = settings
        self._dump = dump
        self._writer = token_hex(_NONCE_BYTES)
        self._built_count = 0

    def build(
        self,
        pending: PendingRecords,
        sequence: Sequence,
    ) -> PreparedRow | None:
        """Moves pending records into one row; returns None without records."""
        entries = pending.pop_batch(self._settings.row_bytes)
        if not entries:
            return None
        self._built_count += 1
        row = JournalRow(
            self._claim.epoch,
            f'{self._writer}.{self._built_count}',
            [entry.stored for entry in entries],
        )
        # Pending records have already changed the state. The state is only
        # that after this row if the row contains all of them.
        captured = None if len(pending) else self._capture(sequence)
        insert = Insert(self._claim, sequence, row)
        return PreparedRow(insert, entries, captured)

    def _capture(self, sequence: Sequence) -> CapturedState | None:
        rows_count = sequence - self.last_captured_sequence
        if self._dump is None:
            return None
        if rows_count < self._settings.snapshot_rows_count:
            return None
        return CapturedState(sequence, self._dump())


__all__ = ('DumpStates', 'PreparedRow', 'RowBuilder')
