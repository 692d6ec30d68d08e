"""When each worker is polled next, within a rate for the whole daemon.

Workers do not push reports, so that the end of a task is seen by a poll only.
Polling hundreds of workers fast costs much of a core; polling them slowly
leaves the capacity of ended tasks unused meanwhile. Therefore a worker is also
polled when one of its tasks is likely to have ended.
"""

from typing import Final

from radishlift.core.clock import Clock
from radishlift.workers.run_times import RunTimes
from radishlift.workers.session import WorkerSession
from radishlift.workers.settings import WorkerSettings

_WINDOW_MS: Final = 1000
_POLLS_PER_LEASE: Final = 4
# A report that comes at the very moment of an end would miss it.
_END_MARGIN_MS: Final = 10


class PollPace:
    """Paces the polls of one daemon; shared by its partitions."""

    def __init__(self, settings: WorkerSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self.run_times = RunTimes()
        self._window_begin_ms = clock.monotonic_ms()
        self._regular_count = 0
        self._end_count = 0
        self._stretch = 1.0

    def note_poll(self, *, is_for_end: bool) -> None:
        """Counts a poll that begins."""
        self._roll()
        if is_for_end:
            self._end_count += 1
        else:
            self._regular_count += 1

    def regular_ms(self, session: WorkerSession) -> int:
        """Returns the pause until the next regular poll of a worker.

        It is stretched when regular polls need more than `polls_per_s`, but
        to no more than a quarter of a lease.
        """
        settings = self._settings
        longest_ms = settings.lease_ms // _POLLS_PER_LEASE
        if session.attempts or not session.is_published:
            wanted_ms = settings.report_interval_ms
        else:
            wanted_ms = min(settings.idle_interval_ms, longest_ms)
            wanted_ms = max(settings.report_interval_ms, wanted_ms)
        self._roll()
        stretched_ms = int(wanted_ms * self._stretch)
        return max(wanted_ms, min(stretched_ms, longest_ms))

    def until_end_ms(self, session: WorkerSession) -> int | None:
        """Returns the pause until an end is likely.

        None without such a time, or when `end_polls_per_s` are used up.
        """
        self._roll()
        if self._end_count >= self._settings.end_polls_per_s:
            return None
        now_ms = self._clock.monotonic_ms()
        ends_ms = self._likely_ends_ms(session, now_ms)
        if not ends_ms:
            return None
        least_ms = min(
            self._settings.end_interval_ms,
            self._settings.report_interval_ms,
        )
        return max(least_ms, min(ends_ms) - now_ms + _END_MARGIN_MS)

    def _likely_ends_ms(
        self,
        session: WorkerSession,
        now_ms: int,
    ) -> list[int]:
        spread_ms = self._settings.report_interval_ms
        ends_ms = []
        for live in session.attempts.values():
            began_ms = live.began_ms
            if began_ms is None or live.is_ended:
                continue
            end_ms = self.run_times.likely_end_ms(
                live.order.task.name,
                max(0, now_ms - began_ms),
                spread_ms,
            )
            if end_ms is not None:
                ends_ms.append(began_ms + end_ms)
        return ends_ms

    def _roll(self) -> None:
        now_ms = self._clock.monotonic_ms()
        passed_ms = now_ms - self._window_begin_ms
        if passed_ms < _WINDOW_MS:
            return
        # The count already follows the present stretch, so that the product
        # settles where regular polls need just the rate.
        rate_per_s = self._regular_count * _WINDOW_MS / passed_ms
        needed = self._stretch * rate_per_s / self._settings.polls_per_s
        self._stretch = max(1.0, needed)
        self._window_begin_ms = now_ms
        self._regular_count = 0
        self._end_count = 0


__all__ = ('PollPace',)
