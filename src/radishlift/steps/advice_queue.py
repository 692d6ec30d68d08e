"""Priority queue of requests to the advice service.

After a takeover all waiting steps need tickets at once. The service handles
one request of a host at a time, so that a request that takes a second would
delay the short requests of urgent steps behind it. Long requests may
therefore use only a share of the hosts.

Every second long request is that of the step that has been due longest: under
overload the requests of one queue alone can use all hosts, and steps of a lower
priority would never get tickets. The age of the request itself does not count,
as a step whose tickets have expired, or whose targets have been replaced,
needs another one.
"""

from heapq import heapify, heappop, heappush
from itertools import count

from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.settings import StepSettings


class AdviceQueue:
    """Advice requests that wait for a host, by priority and arrival."""

    def __init__(self, settings: StepSettings) -> None:
        self._settings = settings
        self._sequence = count()
        self._short: list[tuple[int, int, AdviceRequest]] = []
        self._long: list[tuple[int, int, AdviceRequest]] = []
        self._is_oldest_next = False

    def __len__(self) -> int:
        return len(self._short) + len(self._long)

    def add(self, request: AdviceRequest) -> None:
        """Adds a request."""
        heap = self._long if self.is_long(request) else self._short
        heappush(heap, (request.priority, next(self._sequence), request))

    def is_long(self, request: AdviceRequest) -> bool:
        """Returns whether a request counts against the limit of long ones."""
        return request.duration_ms > self._settings.long_question_ms

    def pop(self, hosts_count: int, long_count: int) -> AdviceRequest | None:
        """Removes and returns the next request for a free host.

        `hosts_count` hosts can send requests, of which `long_count` wait for
        the answer to a long one. Returns None if no request may be sent.
        """
        heaps = [self._short]
        max_long_share = self._settings.long_question_share
        if long_count < max(1, int(hosts_count * max_long_share)):
            heaps.append(self._long)
        nonempty = [heap for heap in heaps if heap]
        if not nonempty:
            return None
        heap = min(nonempty, key=_first_key)
        if heap is self._long:
            return self._pop_long()
        return heappop(heap)[-1]

    def _pop_long(self) -> AdviceRequest:
        self._is_oldest_next = not self._is_oldest_next
        if self._is_oldest_next:
            return heappop(self._long)[-1]
        oldest = min(self._long, key=_due_at_ms)
        self._long.remove(oldest)
        heapify(self._long)
        return oldest[-1]


def _first_key(heap: list[tuple[int, int, AdviceRequest]]) -> tuple[int, int]:
    priority, sequence, _ = heap[0]
    return priority, sequence


def _due_at_ms(entry: tuple[int, int, AdviceRequest]) -> tuple[int, int]:
    _, sequence, request = entry
    return request.due_at_ms, sequence


__all__ = ('AdviceQueue',)
