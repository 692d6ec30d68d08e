"""Shares the daemon's rate of journal rows between its partitions."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.ids import PartitionId
from radishlift.journal.settings import JournalSettings

_SECOND_MS: Final = 1000

# Seven daemons with this burst stay under 300 rows in any second.
_BURST_ROWS: Final = 2

# Writes of snapshots and deletions may use rows that flushes left over, up to
# this number at once, which keeps seven daemons under 400 writes in any second.
_MAX_SPARE_ROWS: Final = 8

# One of 40 rows is kept for them even while flushes use up the budget: without
# snapshots, recovery would take longer with each second of a long peak.
_SPARE_SHARE: Final = 0.025

# A partition without urgent work that has waited for this many intervals is
# flushed as if it had some, so that urgent work elsewhere can't starve it.
_STARVED_INTERVALS: Final = 4


@dataclass(slots=True)
class _Entry:
    """A partition; times are on the monotonic clock, None means no wish."""

    flushed_at_ms: int
    wanted_at_ms: int | None = None
    urgent_at_ms: int | None = None

    def due_at_ms(self, interval_ms: int) -> int:
        """Returns when the partition may be flushed."""
        if self.urgent_at_ms is not None:
            return self.urgent_at_ms
        return self.flushed_at_ms + interval_ms


class FlushScheduler:
    """Tells which partition is flushed next, within the row budget.

    Urgent work is flushed at once while the budget lasts, in order of age.
    Other work waits for the flush interval, which grows with the number of
    partitions so that all of them together keep within the budget.
    """

    def __init__(self, clock: Clock, settings: JournalSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._entries: dict[PartitionId, _Entry] = {}
        self._rows: float = _BURST_ROWS
        self._spare_rows: float = 0
        self._filled_at_ms = clock.monotonic_ms()

    @property
    def interval_ms(self) -> int:
        """Returns the flush interval of a partition without urgent work."""
        rows_per_s = self._settings.rows_per_s
        shared_ms = len(self._entries) * _SECOND_MS // rows_per_s
        return max(self._settings.flush_interval_ms, shared_ms)

    def add(self, partition_id: PartitionId) -> None:
        """Adds a partition that this daemon has acquired."""
        self._entries[partition_id] = _Entry(self._clock.monotonic_ms())

    def remove(self, partition_id: PartitionId) -> None:
        """Removes a partition that this daemon does not own any more."""
        self._entries.pop(partition_id, None)

    def request(
        self,
        partition_id: PartitionId,
        *,
        is_urgent: bool = False,
    ) -> None:
        """Notes that a partition has records to be flushed."""
        entry = self._entries.get(partition_id)
        if entry is None:
            return
        now_ms = self._clock.monotonic_ms()
        if entry.wanted_at_ms is None:
            entry.wanted_at_ms = now_ms
        if is_urgent and entry.urgent_at_ms is None:
            entry.urgent_at_ms = now_ms

    def next_due(self) -> PartitionId | None:
        """Returns the partition to flush now and clears its request.

        Returns None when no partition is due or the budget is used up. One
        row is taken from the budget; a flush of more rows reports the rest
        with `spend`.
        """
        self._fill()
        due = self._most_urgent() if self._rows >= 1 else None
        if due is None:
            return None
        self._rows -= 1
        entry = self._entries[due]
        entry.flushed_at_ms = self._clock.monotonic_ms()
        entry.wanted_at_ms = None
        entry.urgent_at_ms = None
        return due

    def spend(self, rows_count: int) -> None:
        """Takes rows from the budget; it may go into debt."""
        self._fill()
        self._rows -= rows_count

    def spare_rows(self) -> int:
        """Returns how many rows snapshots and deletions may write now.

        The table service counts these as writes too, so they use only what
        flushes have left over, and a small share of the budget.
        """
        self._fill()
        return max(0, int(self._spare_rows))

    def spend_spare(self, rows_count: int) -> None:
        """Takes rows that were written for snapshots and deletions."""
        self._spare_rows -= rows_count

    def delay_ms(self) -> int:
        """Returns after which time it is worth asking again."""
        self._fill()
        rows_per_s = self._settings.rows_per_s
        missing = max(0, 1 - self._rows)
        budget_ms = int(missing * _SECOND_MS / rows_per_s)
        now_ms = self._clock.monotonic_ms()
        waits_ms = [
            entry.due_at_ms(self.interval_ms) - now_ms
            for entry in self._entries.values()
            if entry.wanted_at_ms is not None
        ]
        soonest_ms = min(waits_ms, default=self._settings.flush_interval_ms)
        return max(1, budget_ms, soonest_ms)

    def _most_urgent(self) -> PartitionId | None:
        now_ms = self._clock.monotonic_ms()
        interval_ms = self.interval_ms
        due = [
            (_rank(entry, now_ms, interval_ms), partition_id)
            for partition_id, entry in self._entries.items()
            if entry.wanted_at_ms is not None
            and entry.due_at_ms(interval_ms) <= now_ms
        ]
        return min(due)[1] if due else None

    def _fill(self) -> None:
        now_ms = self._clock.monotonic_ms()
        passed_ms = now_ms - self._filled_at_ms
        earned = passed_ms * self._settings.rows_per_s / _SECOND_MS
        kept = earned * _SPARE_SHARE
        filled = self._rows + earned - kept
        self._rows = min(_BURST_ROWS, filled)
        spare = self._spare_rows + kept + filled - self._rows
        self._spare_rows = min(_MAX_SPARE_ROWS, spare)
        self._filled_at_ms = now_ms


def _rank(entry: _Entry, now_ms: int, interval_ms: int) -> tuple[int, int]:
    wanted_at_ms = entry.wanted_at_ms or 0
    if entry.urgent_at_ms is not None:
        return 0, entry.urgent_at_ms
    if now_ms - wanted_at_ms >= _STARVED_INTERVALS * interval_ms:
        return 0, wanted_at_ms
    return 1, wanted_at_ms


__all__ = ('FlushScheduler',)
