"""When the workers of one partition are polled next."""

from random import Random

from radishlift.core.clock import Clock
from radishlift.workers.poll_pace import PollPace
from radishlift.workers.schedule import PollSchedule
from radishlift.workers.session import WorkerSession
from radishlift.workers.settings import WorkerSettings


class PollPlan:
    """Puts workers into the schedule at the pace of the daemon."""

    def __init__(
        self,
        pace: PollPace,
        settings: WorkerSettings,
        clock: Clock,
    ) -> None:
        self.schedule = PollSchedule()
        self._pace = pace
        self._settings = settings
        self._clock = clock

    def begin(self, session: WorkerSession) -> None:
        """Counts a poll that begins."""
        self._pace.note_poll(is_for_end=session.poll.is_for_end)

    def retry(self, session: WorkerSession) -> None:
        """Plans a poll after an exchange that failed."""
        self._add(session, self._settings.retry_interval_ms)

    def after_answer(
        self,
        session: WorkerSession,
        *,
        was_connected: bool,
    ) -> None:
        """Plans the poll that follows one with an answer."""
        pause_ms = self._pace.regular_ms(session)
        if not was_connected:
            # The first polls come all at once; later ones are spread out.
            pause_ms = Random(session.worker_id).randrange(pause_ms)
        until_end_ms = self._pace.until_end_ms(session)
        if until_end_ms is None or until_end_ms >= pause_ms:
            self._add(session, pause_ms)
            return
        self._add(session, until_end_ms)
        session.poll.is_for_end = True

    def after_sending(self, session: WorkerSession) -> None:
        """Moves the next poll when what was sent makes it due earlier."""
        if session.poll.is_wanted:
            session.poll.is_wanted = False
            self.retry(session)
            return
        until_end_ms = self._pace.until_end_ms(session)
        if until_end_ms is not None:
            at_ms = self._clock.monotonic_ms() + until_end_ms
            if self.schedule.add_if_later(session, at_ms):
                session.poll.is_for_end = True

    def _add(self, session: WorkerSession, pause_ms: int) -> None:
        session.poll.is_for_end = False
        now_ms = self._clock.monotonic_ms()
        self.schedule.add(session, now_ms + pause_ms)


__all__ = ('PollPlan',)
