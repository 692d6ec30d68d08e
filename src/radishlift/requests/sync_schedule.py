"""When to read and move the slot allotments."""

from typing import Any

from radishlift.core.clock import Clock
from radishlift.requests.settings import RequestSettings


class SyncSchedule:
    """Syncs at once after a change and ever more seldom without one.

    Reading all rows twice a second would be most of the control traffic of
    a daemon without requests. `situation` is what the last sync went by, such
    as the wanted slots and the executors.
    """

    def __init__(self, settings: RequestSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._interval_ms = settings.sync_interval_ms
        self._synced_at_ms: int | None = None
        self._synced_inputs: Any = None

    def is_due(self, inputs: Any) -> bool:
        """Tells whether to sync now."""
        if self._synced_at_ms is None or inputs != self._synced_inputs:
            return True
        passed_ms = self._clock.monotonic_ms() - self._synced_at_ms
        return passed_ms >= self._interval_ms

    def record_sync(self, inputs: Any, *, is_changed: bool) -> None:
        """Notes a sync, and whether rows changed by it or before it."""
        self._synced_at_ms = self._clock.monotonic_ms()
        if is_changed or inputs != self._synced_inputs:
            self._interval_ms = self._settings.sync_interval_ms
        else:
            self._interval_ms = min(
                2 * self._interval_ms,
                self._settings.idle_sync_interval_ms,
            )
        self._synced_inputs = inputs


__all__ = ('SyncSchedule',)
