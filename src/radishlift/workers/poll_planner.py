"""Schedules the next poll of each worker of a partition."""

from random import Random

from radishlift.core.clock import Clock
from radishlift.workers.poll_rate import PollRateLimiter
from radishlift.workers.schedule import PollSchedule
from radishlift.workers.session import WorkerSession
from radishlift.workers.settings import WorkerSettings


class PollPlanner:
    """Schedules polls at the intervals of the daemon's rate limiter."""

    def __init__(
        self,
        rate_limiter: PollRateLimiter,
        settings: WorkerSettings,
        clock: Clock,
    ) -> None:
        self.schedule = PollSchedule()
        self._rate_limiter = rate_limiter
        self._settings = settings
        self._clock = clock

    def count_poll(self, session: WorkerSession) -> None:
        """Counts a started poll of a worker."""
        self._rate_limiter.count_poll(is_for_end=session.poll.is_for_end)

    def schedule_retry(self, session: WorkerSession) -> None:
        """Schedules a poll after a failed request."""
        self._schedule(session, self._settings.retry_interval_ms)

    def schedule_after_answer(
        self,
        session: WorkerSession,
        *,
        was_connected: bool,
    ) -> None:
        """Schedules the next poll after one that was answered."""
        pause_ms = self._rate_limiter.regular_interval_ms(session)
        if not was_connected:
            # Randomizes the second poll, as the first polls of all workers
            # come at the same time.
            pause_ms = Random(session.worker_id).randrange(pause_ms)
        until_end_ms = self._rate_limiter.likely_end_delay_ms(session)
        if until_end_ms is None or until_end_ms >= pause_ms:
            self._schedule(session, pause_ms)
            return
        self._schedule(session, until_end_ms)
        session.poll.is_for_end = True

    def reschedule_after_sending(self, session: WorkerSession) -> None:
        """Moves the next poll earlier if the sent requests need it."""
        if session.poll.is_wanted:
            session.poll.is_wanted = False
            self.schedule_retry(session)
            return
        until_end_ms = self._rate_limiter.likely_end_delay_ms(session)
        if until_end_ms is not None:
            at_ms = self._clock.monotonic_ms() + until_end_ms
            if self.schedule.move_earlier(session, at_ms):
                session.poll.is_for_end = True

    def _schedule(self, session: WorkerSession, pause_ms: int) -> None:
        session.poll.is_for_end = False
        now_ms = self._clock.monotonic_ms()
        self.schedule.add(session, now_ms + pause_ms)


__all__ = ('PollPlanner',)
