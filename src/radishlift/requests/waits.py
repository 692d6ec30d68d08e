"""How long a request may wait for a slot, and how long it is likely to."""

from dataclasses import dataclass

from radishlift.requests.calls import Call
from radishlift.requests.service_times import ServiceTimes
from radishlift.requests.wait_queue import AGED_TURN_INTERVAL, WaitQueue


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """The longest wait of a call, and the part after which it has aged.

    A lower class is served first after half of its limit; admission keeps
    the number of those ahead of it so small that the rest of the limit is
    enough for them.
    """

    limit_ms: int
    ages_after_ms: int


def wait_limit(call: Call, times: ServiceTimes) -> WaitLimit:
    """Returns how long a call may wait and still be answered in time."""
    likely_ms = times.likely_ms(call.request.service, call.rank)
    in_time_ms = max(0, call.remaining_ms - int(likely_ms))
    limit_ms = min(call.service.max_wait_ms, in_time_ms)
    return WaitLimit(limit_ms, limit_ms // 2)


def expected_wait_ms(
    call: Call,
    queue: WaitQueue,
    times: ServiceTimes,
    held_count: int,
) -> float:
    """Estimates the wait of a new call behind those that wait already.

    Lower classes drain by their recent part of the turns, since more urgent
    requests go on to arrive; the urgent ones that wait now delay them until
    they have aged.
    """
    turn_ms = times.mean_ms(call.request.service, call.rank) / held_count
    if not call.rank:
        ahead_ms = queue.count_ahead(0) * turn_ms
        if queue.lower_count:
            ahead_ms *= AGED_TURN_INTERVAL / (AGED_TURN_INTERVAL - 1)
        return ahead_ms
    ages_after_ms = wait_limit(call, times).ages_after_ms
    urgent_ms = min(queue.count_ahead(0) * turn_ms, ages_after_ms)
    return urgent_ms + queue.lower_count * turn_ms / queue.lower_share


__all__ = ('WaitLimit', 'expected_wait_ms', 'wait_limit')
