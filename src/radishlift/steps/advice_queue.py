"""The order in which questions go to the advice service.

Answers bursts of questions, as after a takeover, when all waiting steps need
tickets at once: the service works on one question of a host at a time, so
that a question that takes a second would hold up the quick ones of urgent
steps behind it. Long questions take only a share of the hosts.
"""

from heapq import heappop, heappush
from itertools import count

from radishlift.steps.asking import AdviceRequest
from radishlift.steps.settings import StepSettings


class AdviceQueue:
    """Questions that wait for a host, the most urgent first."""

    def __init__(self, settings: StepSettings) -> None:
        self._settings = settings
        self._numbers = count()
        self._short: list[tuple[int, int, AdviceRequest]] = []
        self._long: list[tuple[int, int, AdviceRequest]] = []

    def __len__(self) -> int:
        return len(self._short) + len(self._long)

    def add(self, request: AdviceRequest) -> None:
        """Adds a question."""
        line = self._long if self.is_long(request) else self._short
        heappush(line, (request.priority, next(self._numbers), request))

    def is_long(self, request: AdviceRequest) -> bool:
        """Tells whether a question keeps a host from urgent ones."""
        return request.duration_ms > self._settings.long_question_ms

    def take(self, hosts_count: int, long_count: int) -> AdviceRequest | None:
        """Takes the next question for a host that is free.

        `hosts_count` hosts can be asked, and `long_count` of them work on
        long questions.
        """
        lines = [self._short]
        share = self._settings.long_question_share
        if long_count < max(1, int(hosts_count * share)):
            lines.append(self._long)
        waiting = [line for line in lines if line]
        if not waiting:
            return None
        return heappop(min(waiting, key=_head))[-1]


def _head(line: list[tuple[int, int, AdviceRequest]]) -> tuple[int, int]:
    priority, number, _ = line[0]
    return priority, number


__all__ = ('AdviceQueue',)
