"""The order in which questions go to the advice service.

Answers bursts of questions, as after a takeover, when all waiting steps need
tickets at once: the service works on one question of a host at a time, so
that a question that takes a second would hold up the quick ones of urgent
steps behind it. Long questions take only a max_long_share of the hosts.
"""

from heapq import heappop, heappush
from itertools import count

from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.settings import StepSettings


class AdviceQueue:
    """Questions that wait for a host, the most urgent first."""

    def __init__(self, settings: StepSettings) -> None:
        self._settings = settings
        self._sequence = count()
        self._short: list[tuple[int, int, AdviceRequest]] = []
        self._long: list[tuple[int, int, AdviceRequest]] = []

    def __len__(self) -> int:
        return len(self._short) + len(self._long)

    def add(self, request: AdviceRequest) -> None:
        """Adds a question."""
        heap = self._long if self.is_long(request) else self._short
        heappush(heap, (request.priority, next(self._sequence), request))

    def is_long(self, request: AdviceRequest) -> bool:
        """Tells whether a question keeps a host from urgent ones."""
        return request.duration_ms > self._settings.long_question_ms

    def pop(self, hosts_count: int, long_count: int) -> AdviceRequest | None:
        """Takes the next question for a host that is free.

        `hosts_count` hosts can be asked, and `long_count` of them work on
        long questions.
        """
        heaps = [self._short]
        max_long_share = self._settings.long_question_share
        if long_count < max(1, int(hosts_count * max_long_share)):
            heaps.append(self._long)
        nonempty = [heap for heap in heaps if heap]
        if not nonempty:
            return None
        return heappop(min(nonempty, key=_first_key))[-1]


def _first_key(heap: list[tuple[int, int, AdviceRequest]]) -> tuple[int, int]:
    priority, sequence, _ = heap[0]
    return priority, sequence


__all__ = ('AdviceQueue',)
