"""Poll intervals of workers within a poll rate for the whole daemon.

Workers do not push reports, so only a poll detects the end of a task. Frequent
polls of hundreds of workers use much of a processor core; infrequent polls
leave the capacity of ended tasks unused. Therefore a worker is also polled
when one of its tasks is likely to have ended.
"""

from typing import Final

from radishlift.core.clock import Clock
from radishlift.workers.run_times import RunTimes
from radishlift.workers.session import WorkerSession
from radishlift.workers.settings import WorkerSettings

_WINDOW_MS: Final = 1000
_POLLS_PER_LEASE: Final = 4
# A poll at the exact time of an end could still report the task as running.
_END_MARGIN_MS: Final = 10


class PollRateLimiter:
    """Limits the poll rate of a daemon; shared by its partitions."""

    def __init__(self, settings: WorkerSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self.run_times = RunTimes()
        self._window_start_ms = clock.monotonic_ms()
        self._regular_polls_count = 0
        self._end_polls_count = 0
        self._backoff_factor = 1.0

    def count_poll(self, *, is_for_end: bool) -> None:
        """Counts a started poll in the current window of 1 s."""
        self._advance_window()
        if is_for_end:
            self._end_polls_count += 1
        else:
            self._regular_polls_count += 1

    def regular_interval_ms(self, session: WorkerSession) -> int:
        """Returns the time until the next regular poll of a worker.

        The interval is increased when regular polls need more than
        `polls_per_s`, up to a quarter of a lease.
        """
        settings = self._settings
        max_interval_ms = settings.lease_ms // _POLLS_PER_LEASE
        if session.attempts or not session.is_published:
            interval_ms = settings.report_interval_ms
        else:
            interval_ms = min(settings.idle_interval_ms, max_interval_ms)
            interval_ms = max(settings.report_interval_ms, interval_ms)
        self._advance_window()
        backed_off_ms = int(interval_ms * self._backoff_factor)
        return max(interval_ms, min(backed_off_ms, max_interval_ms))

    def likely_end_delay_ms(self, session: WorkerSession) -> int | None:
        """Returns the time until the end of a task is likely.

        Returns None if no end can be predicted, or if `end_polls_per_s` polls
        were made in the current window.
        """
        self._advance_window()
        if self._end_polls_count >= self._settings.end_polls_per_s:
            return None
        now_ms = self._clock.monotonic_ms()
        end_times_ms = self._likely_end_times_ms(session, now_ms)
        if not end_times_ms:
            return None
        min_delay_ms = min(
            self._settings.end_interval_ms,
            self._settings.report_interval_ms,
        )
        return max(min_delay_ms, min(end_times_ms) - now_ms + _END_MARGIN_MS)

    def _likely_end_times_ms(
        self,
        session: WorkerSession,
        now_ms: int,
    ) -> list[int]:
        max_spread_ms = self._settings.report_interval_ms
        end_times_ms = []
        for attempt in session.attempts.values():
            started_ms = attempt.started_ms
            if started_ms is None or attempt.is_ended:
                continue
            end_ms = self.run_times.likely_end_ms(
                attempt.to_run.task.name,
                max(0, now_ms - started_ms),
                max_spread_ms,
            )
            if end_ms is not None:
                end_times_ms.append(started_ms + end_ms)
        return end_times_ms

    def _advance_window(self) -> None:
        now_ms = self._clock.monotonic_ms()
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms < _WINDOW_MS:
            return
        # The counted polls already ran at the current backoff factor. The
        # product therefore converges to the factor at which regular polls
        # need exactly `polls_per_s`.
        rate_per_s = self._regular_polls_count * _WINDOW_MS / elapsed_ms
        needed_factor = (
            self._backoff_factor * rate_per_s / self._settings.polls_per_s
        )
        self._backoff_factor = max(1.0, needed_factor)
        self._window_start_ms = now_ms
        self._regular_polls_count = 0
        self._end_polls_count = 0


__all__ = ('PollRateLimiter',)
