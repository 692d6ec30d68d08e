import pytest

from radishlift.config.document import Service
from radishlift.core.clock import ManualClock
from radishlift.requests.calls import Call
from radishlift.requests.service_times import ServiceTimes
from radishlift.requests.wait_queue import AGED_TURN_INTERVAL, WaitQueue
from radishlift.requests.waits import expected_wait_ms, wait_limit
from tests.requests.daemons import request
from tests.requests.fakes import DEPARTMENT, SERVICE

MAX_WAIT_MS = 1_000
HELD_COUNT = 10
RUN_MS = 100
TURN_MS = RUN_MS // HELD_COUNT
LIMIT = 64


class LoadedQueue:
    """A wait queue for slots that are always in use."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.queue = WaitQueue()
        self.times = ServiceTimes()
        for rank in (0, 1):
            self.times.observe(SERVICE, rank, RUN_MS)
        self.service = Service(
            DEPARTMENT, max_wait_ms=MAX_WAIT_MS, urgent_classes=('clinic',)
        )
        self.waited_ms: dict[int, list[int]] = {0: [], 1: []}
        self.refused_count = 0
        self.timed_out_count = 0

    def add_request(self, rank):
        now_ms = self.clock.now_ms
        call = Call(request(0), self.service, self.clock, now_ms + 5_000, rank)
        wait_ms = expected_wait_ms(call, self.queue, self.times, HELD_COUNT)
        limit = wait_limit(call, self.times)
        if wait_ms > limit.limit_ms:
            self.refused_count += 1
            return
        self.queue.add(call, LIMIT, now_ms + limit.ages_after_ms)

    def end_long_waits(self):
        """Ends the waits that `CallScheduler` ends by a timer."""
        oldest_ms = self.clock.now_ms - MAX_WAIT_MS + MAX_WAIT_MS // 2
        for waiter in list(self.queue._waiters):
            if waiter.aged_at_ms < oldest_ms:
                self.queue.discard(waiter)
                self.timed_out_count += 1

    def serve_next(self, is_broken):
        now_ms = self.clock.now_ms
        queue = self.queue
        waiter = queue._waiters[0] if is_broken else queue.next_waiter(now_ms)
        queue.serve(waiter, now_ms)
        arrived_at_ms = waiter.aged_at_ms - MAX_WAIT_MS // 2
        self.waited_ms[waiter.call.rank].append(now_ms - arrived_at_ms)


@pytest.mark.parametrize('is_broken', [False, True])
async def test_lower_classes_wait_at_most_the_bound(is_broken):
    """Lower classes must not starve under urgent load.

    Urgent arrivals are twice the capacity, and lower arrivals are as many.
    """
    loaded = LoadedQueue()
    for _ in range(2_000):
        loaded.clock.now_ms += TURN_MS
        for rank in (0, 1, 0, 1):
            loaded.add_request(rank)
        loaded.end_long_waits()
        loaded.serve_next(is_broken)
    lower_count = len(loaded.waited_ms[1])
    # Urgent classes are served first: the others get only the aged turns.
    expected = pytest.approx(2_000 / AGED_TURN_INTERVAL, rel=0.1)
    assert (lower_count == expected) is not is_broken
    # Too many are admitted until the share of urgent turns is known.
    assert (loaded.timed_out_count <= LIMIT // 4) is not is_broken
    assert loaded.refused_count
    assert max(loaded.waited_ms[0] + loaded.waited_ms[1]) <= MAX_WAIT_MS


async def test_urgent_request_is_first_while_nothing_has_aged():
    """A waiter must not overtake urgent requests before it is aged."""
    loaded = LoadedQueue()
    for rank in (1, 1, 1, 0):
        loaded.add_request(rank)
    loaded.clock.now_ms += MAX_WAIT_MS // 2 - 1
    assert loaded.queue.next_waiter(loaded.clock.now_ms).call.rank == 0


async def test_full_queue_keeps_places_for_lower_classes():
    """Urgent load must not shed all lower waiters, so that they can age."""
    loaded = LoadedQueue()
    queue = loaded.queue
    loaded.service = Service(DEPARTMENT, urgent_classes=('clinic',))
    for rank in (0, 1, 0):
        for _ in range(LIMIT):
            loaded.add_request(rank)
    assert len(queue) == LIMIT
    assert queue.lower_count == LIMIT // 4
