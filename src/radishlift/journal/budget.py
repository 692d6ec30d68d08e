"""Divides the daemon's journal write budget between its partitions."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.ids import PartitionId
from radishlift.journal.settings import JournalSettings

_SECOND_MS: Final = 1000

# With this burst, seven daemons together write fewer than 300 rows in any
# second.
_BURST_ROWS: Final = 2

# Upper bound of the unused row budget that accumulates for snapshot writes and
# deletions. It keeps seven daemons under 400 writes in any second.
_MAX_SPARE_ROWS: Final = 8

# One of 40 rows is reserved for snapshots and deletions even while flushes use
# up the budget. Otherwise no snapshot would be written during a long load peak
# and recovery time would grow throughout the peak.
_SPARE_RATIO: Final = 0.025

# A partition that has waited for this many flush intervals gets the priority of
# urgent work, so that urgent work of other partitions can't starve it.
_STARVED_INTERVALS: Final = 4


@dataclass(slots=True)
class _Entry:
    """Flush state of a partition, in times of the monotonic clock.

    `requested_at_ms` and `urgent_at_ms` are None without such a request.
    """

    flushed_at_ms: int
    requested_at_ms: int | None = None
    urgent_at_ms: int | None = None

    def due_at_ms(self, interval_ms: int) -> int:
        """Returns the earliest time of the next flush."""
        if self.urgent_at_ms is not None:
            return self.urgent_at_ms
        return self.flushed_at_ms + interval_ms


class FlushScheduler:
    """Selects the partition to flush next, within the row budget.

    Partitions with urgent work are flushed immediately while the budget
    lasts, oldest request first. Other partitions wait for the flush interval,
    which grows with the number of partitions so that together they stay
    within the budget.
    """

    def __init__(self, clock: Clock, settings: JournalSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._entries: dict[PartitionId, _Entry] = {}
        self._rows: float = _BURST_ROWS
        self._spare_rows: float = 0
        self._refilled_at_ms = clock.monotonic_ms()

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
        """Requests a flush of a partition; ignored for unknown partitions."""
        entry = self._entries.get(partition_id)
        if entry is None:
            return
        now_ms = self._clock.monotonic_ms()
        if entry.requested_at_ms is None:
            entry.requested_at_ms = now_ms
        if is_urgent and entry.urgent_at_ms is None:
            entry.urgent_at_ms = now_ms

    def next_due(self) -> PartitionId | None:
        """Returns the partition to flush now and clears its request.

        Returns None when no partition is due or the budget is used up.
        Charges one row to the budget; a caller that flushes more rows reports
        the others with `spend`.
        """
        self._refill()
        due = self._pick_due() if self._rows >= 1 else None
        if due is None:
            return None
        self._rows -= 1
        entry = self._entries[due]
        entry.flushed_at_ms = self._clock.monotonic_ms()
        entry.requested_at_ms = None
        entry.urgent_at_ms = None
        return due

    def spend(self, rows_count: int) -> None:
        """Charges rows to the budget, which may become negative."""
        self._refill()
        self._rows -= rows_count

    def spare_rows(self) -> int:
        """Returns how many rows snapshots and deletions may write now.

        The table service counts these as writes too, so they are limited to
        the budget that flushes left unused plus a small reserved part.
        """
        self._refill()
        return max(0, int(self._spare_rows))

    def spend_spare(self, rows_count: int) -> None:
        """Charges rows that snapshots and deletions have written."""
        self._spare_rows -= rows_count

    def delay_ms(self) -> int:
        """Returns the time until `next_due` may return a partition."""
        self._refill()
        rows_per_s = self._settings.rows_per_s
        missing = max(0, 1 - self._rows)
        budget_ms = int(missing * _SECOND_MS / rows_per_s)
        now_ms = self._clock.monotonic_ms()
        waits_ms = [
            entry.due_at_ms(self.interval_ms) - now_ms
            for entry in self._entries.values()
            if entry.requested_at_ms is not None
        ]
        soonest_ms = min(waits_ms, default=self._settings.flush_interval_ms)
        return max(1, budget_ms, soonest_ms)

    def _pick_due(self) -> PartitionId | None:
        now_ms = self._clock.monotonic_ms()
        interval_ms = self.interval_ms
        due = [
            (_rank(entry, now_ms, interval_ms), partition_id)
            for partition_id, entry in self._entries.items()
            if entry.requested_at_ms is not None
            and entry.due_at_ms(interval_ms) <= now_ms
        ]
        return min(due)[1] if due else None

    def _refill(self) -> None:
        now_ms = self._clock.monotonic_ms()
        passed_ms = now_ms - self._refilled_at_ms
        earned = passed_ms * self._settings.rows_per_s / _SECOND_MS
        kept = earned * _SPARE_RATIO
        filled = self._rows + earned - kept
        self._rows = min(_BURST_ROWS, filled)
        spare = self._spare_rows + kept + filled - self._rows
        self._spare_rows = min(_MAX_SPARE_ROWS, spare)
        self._refilled_at_ms = now_ms


def _rank(entry: _Entry, now_ms: int, interval_ms: int) -> tuple[int, int]:
    wanted_at_ms = entry.requested_at_ms or 0
    if entry.urgent_at_ms is not None:
        return 0, entry.urgent_at_ms
    if now_ms - wanted_at_ms >= _STARVED_INTERVALS * interval_ms:
        return 0, wanted_at_ms
    return 1, wanted_at_ms


__all__ = ('FlushScheduler',)
