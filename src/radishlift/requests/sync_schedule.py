"""Schedule of the syncs of slot allotments."""

from typing import Any

from radishlift.core.clock import Clock
from radishlift.requests.settings import RequestSettings


class SyncSchedule:
    """Makes a sync due at once after a change, and at longer intervals without.

    Reading all rows twice a second would be most of the control traffic of a
    daemon without requests. `inputs` are what a sync depends on, such as the
    wanted slots and the executors.
    """

    def __init__(self, settings: RequestSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._interval_ms = settings.sync_interval_ms
        self._synced_at_ms: int | None = None
        self._synced_inputs: Any = None

    def is_due(self, inputs: Any) -> bool:
        """Returns whether a sync is due now."""
        if self._synced_at_ms is None or inputs != self._synced_inputs:
            return True
        passed_ms = self._clock.monotonic_ms() - self._synced_at_ms
        return passed_ms >= self._interval_ms

    def record_sync(self, inputs: Any, *, is_changed: bool) -> None:
        """Records a sync; `is_changed` says if it found or made changes."""
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
