"""Limits and estimates of the wait of a request for a slot."""

from dataclasses import dataclass

from radishlift.requests.calls import Call
from radishlift.requests.service_times import ServiceTimes
from radishlift.requests.wait_queue import AGED_TURN_INTERVAL, WaitQueue


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """The longest wait of a call, and the wait after which it is aged.

    A call of a lower class is aged after half of its limit. Calls are admitted
    only if the rest of the limit is enough for the waiters ahead of them.
    """

    limit_ms: int
    ages_after_ms: int


def wait_limit(call: Call, times: ServiceTimes) -> WaitLimit:
    """Returns how long a call may wait and still meet its deadline."""
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
    """Estimates the wait of a new call behind the current waiters.

    Lower classes get their recent part of the turns, since urgent requests
    continue to arrive. The urgent waiters delay a lower call at most until it
    is aged.
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
