"""Ids that are remembered for some time."""

from radishlift.core.clock import Clock
from radishlift.core.ids import JobId


class RecentIds:
    """The ids of jobs that were added within `kept_ms`."""

    def __init__(self, kept_ms: int, clock: Clock) -> None:
        self._kept_ms = kept_ms
        self._clock = clock
        # In the order in which they were added.
        self._added_at_ms: dict[JobId, int] = {}

    def __contains__(self, job_id: JobId) -> bool:
        return job_id in self._added_at_ms

    def add(self, job_id: JobId) -> None:
        """Adds an id, and forgets those that are too old."""
        now_ms = self._clock.monotonic_ms()
        while self._added_at_ms:
            oldest = next(iter(self._added_at_ms))
            if now_ms - self._added_at_ms[oldest] < self._kept_ms:
                break
            del self._added_at_ms[oldest]
        self._added_at_ms[job_id] = now_ms


__all__ = ('RecentIds',)
