"""How often targets crash although no start explains it."""

from collections import deque

from radishlift.steps.settings import StepSettings

# A shorter time says nothing about the rate of crashes.
_MIN_SPAN_MS = 1000


class CrashRate:
    """Counts unexplained crashes of the last `crash_rate_ms`.

    If targets crash for other reasons, some do so by chance shortly after a
    start, and more crashes are required to give a task up.
    """

    def __init__(self, settings: StepSettings, began_at_ms: int) -> None:
        self._settings = settings
        self._began_at_ms = began_at_ms
        self._crashes_at_ms: deque[int] = deque()

    def record(self, now_ms: int) -> None:
        """Records a crash of a target that had survived all its starts."""
        self._crashes_at_ms.append(now_ms)

    def required_count(self, now_ms: int, targets_count: int) -> int:
        """Returns how many crashes of its targets give a task up.

        It is the least number that is together less likely by chance than
        `crash_chance`, from `max_crashes_count` on, but not above
        `max_required_crashes_count`.
        """
        settings = self._settings
        chance = self._chance_at_start(now_ms, targets_count)
        count = settings.max_crashes_count
        while (
            count < settings.max_required_crashes_count
            and chance**count > settings.crash_chance
        ):
            count += 1
        return count

    def _chance_at_start(self, now_ms: int, targets_count: int) -> float:
        """Returns how likely a target crashes by chance after a start."""
        limit_ms = now_ms - self._settings.crash_rate_ms
        while self._crashes_at_ms and self._crashes_at_ms[0] < limit_ms:
            self._crashes_at_ms.popleft()
        span_ms = max(_MIN_SPAN_MS, now_ms - max(limit_ms, self._began_at_ms))
        rate = len(self._crashes_at_ms) / (span_ms * max(1, targets_count))
        return min(1, rate * self._settings.crash_window_ms)


__all__ = ('CrashRate',)
