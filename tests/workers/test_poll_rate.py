import pytest

from radishlift.core.clock import ManualClock
from radishlift.core.ids import Attempt, Incarnation, TaskId, WorkerId
from radishlift.workers.messages import TaskToStart
from radishlift.workers.poll_rate import PollRateLimiter
from radishlift.workers.session import (
    AttemptToRun,
    LiveAttempt,
    WorkerSession,
)
from radishlift.workers.settings import WorkerSettings

SETTINGS = WorkerSettings(
    lease_ms=20_000,
    report_interval_ms=1000,
    polls_per_s=100,
    end_polls_per_s=2,
)
WORKER = WorkerId('127.0.0.1:9')


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def limiter(clock):
    return PollRateLimiter(SETTINGS, clock)


def busy_session(clock, *names: str) -> WorkerSession:
    """Makes a session with tasks of these names that have just started."""
    session = WorkerSession(WORKER, 0)
    for number, name in enumerate(names):
        task = TaskToStart(
            TaskId(f'j/{number}'), Attempt(1), 1, 1, 0, 60_000, name
        )
        attempt = LiveAttempt(AttemptToRun(WORKER, Incarnation('1'), task))
        attempt.started_ms = clock.monotonic_ms()
        session.attempts[attempt.to_run.key] = attempt
    return session


def observe_runs(limiter, name: str, run_ms: int) -> None:
    for _ in range(4):
        limiter.run_times.observe(name, run_ms)


def test_next_poll_is_at_the_next_likely_end(limiter, clock):
    """Guards against capacity that stays unused until a regular poll."""
    session = busy_session(clock, 'wash', 'press')
    assert limiter.likely_end_delay_ms(session) is None
    observe_runs(limiter, 'wash', 700)
    observe_runs(limiter, 'press', 400)
    assert limiter.likely_end_delay_ms(session) == 410
    clock.advance(405)
    # A task that runs longer than expected is left to regular polls.
    assert limiter.likely_end_delay_ms(session) == 305
    clock.advance(245)
    assert limiter.likely_end_delay_ms(session) == SETTINGS.end_interval_ms


def test_polls_for_ends_keep_their_rate(limiter, clock):
    """Guards against polls for many short tasks that use a whole core."""
    session = busy_session(clock, 'wash')
    observe_runs(limiter, 'wash', 700)
    for _ in range(2):
        assert limiter.likely_end_delay_ms(session) is not None
        limiter.count_poll(is_for_end=True)
    assert limiter.likely_end_delay_ms(session) is None
    clock.advance(1000)
    session.attempts = busy_session(clock, 'wash').attempts
    assert limiter.likely_end_delay_ms(session) is not None


def test_regular_polls_keep_the_rate_and_the_lease(limiter, clock):
    """Guards against polls that use a whole core and leases that expire."""
    session = busy_session(clock, 'wash')
    assert limiter.regular_interval_ms(session) == 1000
    for workers_count, expected_ms in ((300, 3000), (50, 1000), (3000, 5000)):
        for _ in range(20):
            interval_ms = limiter.regular_interval_ms(session)
            for _ in range(workers_count * 1000 // interval_ms):
                limiter.count_poll(is_for_end=False)
            clock.advance(1000)
        assert limiter.regular_interval_ms(session) == pytest.approx(
            expected_ms, rel=0.02
        )
