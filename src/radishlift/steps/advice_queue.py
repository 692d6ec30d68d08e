"""Priority queue of requests to the advice service.

After a takeover all waiting steps need tickets at once. The service handles
one request of a host at a time, so that a request that takes a second would
delay the short requests of urgent steps behind it. Long requests may
therefore use only a share of the hosts.

Requests are sent in the order in which the planner would place their steps at
that time, not in that of their arrival: a step may have become late meanwhile,
and the tickets of one that is placed last expire unused. Those of gangs whose
reserved room is free come first, as this room is idle until the answer.

Every second long request is that of the step that has been due longest: under
overload the requests of one queue alone can use all hosts, and steps of a lower
priority would never get tickets. The age of the request itself does not count,
as a step whose tickets have expired, or whose targets have been replaced,
needs another one.
"""

from collections.abc import Callable, Mapping
from itertools import count
from typing import Final

from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.ids import StepKey
from radishlift.steps.settings import StepSettings

RequestRanks = Mapping[StepKey, int]
"""Ranks of steps; requests of the lowest are sent first."""

# Steps without a rank come last, by their priority.
_LAST_RANK: Final = 1 << 40

_Entry = tuple[int, AdviceRequest]


class AdviceQueue:
    """Advice requests that wait for a host.

    `get_ranks` returns the ranks of their steps, as another object if they
    have changed. Requests of equal rank are sent by priority and arrival.
    """

    def __init__(
        self,
        settings: StepSettings,
        get_ranks: Callable[[], RequestRanks] = dict,
    ) -> None:
        self._settings = settings
        self._get_ranks = get_ranks
        self._ranks: RequestRanks = {}
        self._sequence = count()
        # Sorted by `_key`, the next request last, unless one was added.
        self._short: list[_Entry] = []
        self._long: list[_Entry] = []
        self._is_sorted = True
        self._is_oldest_next = False

    def __len__(self) -> int:
        return len(self._short) + len(self._long)

    def add(self, request: AdviceRequest) -> None:
        """Adds a request."""
        entries = self._long if self.is_long(request) else self._short
        entries.append((next(self._sequence), request))
        self._is_sorted = False

    def is_long(self, request: AdviceRequest) -> bool:
        """Returns whether a request counts against the limit of long ones."""
        return request.duration_ms > self._settings.long_question_ms

    def pop(self, hosts_count: int, long_count: int) -> AdviceRequest | None:
        """Removes and returns the next request for a free host.

        `hosts_count` hosts can send requests, of which `long_count` wait for
        the answer to a long one. Returns None if no request may be sent.
        """
        candidates = [self._short]
        max_long_share = self._settings.long_question_share
        if long_count < max(1, int(hosts_count * max_long_share)):
            candidates.append(self._long)
        nonempty = [entries for entries in candidates if entries]
        if not nonempty:
            return None
        self._sort()
        entries = min(nonempty, key=lambda found: self._key(found[-1]))
        if entries is self._long:
            return self._pop_long()
        return entries.pop()[-1]

    def _pop_long(self) -> AdviceRequest:
        self._is_oldest_next = not self._is_oldest_next
        if self._is_oldest_next:
            return self._long.pop()[-1]
        oldest = min(self._long, key=_due_at_ms)
        self._long.remove(oldest)
        return oldest[-1]

    def _sort(self) -> None:
        ranks = self._get_ranks()
        if self._is_sorted and ranks is self._ranks:
            return
        self._ranks = ranks
        self._is_sorted = True
        for entries in (self._short, self._long):
            entries.sort(key=self._key, reverse=True)

    def _key(self, entry: _Entry) -> tuple[int, int, int]:
        sequence, request = entry
        rank = self._ranks.get(request.key, _LAST_RANK)
        return rank, request.priority, sequence


def _due_at_ms(entry: _Entry) -> tuple[int, int]:
    sequence, request = entry
    return request.due_at_ms, sequence


__all__ = ('AdviceQueue', 'RequestRanks')
