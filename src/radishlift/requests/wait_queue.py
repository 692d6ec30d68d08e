"""The bounded queue of one service's requests that wait for a slot."""

import asyncio
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from sortedcontainers import SortedList

from radishlift.core.errors import ErrorKind, Failure
from radishlift.requests.calls import Call


@dataclass(slots=True)
class Waiter:
    """A waiting request; its future gets a place or a failure."""

    call: Call
    sequence: int
    future: 'asyncio.Future[Any]' = field(repr=False)

    @property
    def order(self) -> tuple[int, int]:
        """Returns its position: urgent classes first, then by arrival."""
        return (self.call.rank, self.sequence)


class WaitQueue:
    """Orders waiters; a full queue sheds the least urgent newest one."""

    def __init__(self) -> None:
        self._waiters: SortedList = SortedList(key=_order)
        self._sequences = count()

    def __len__(self) -> int:
        return len(self._waiters)

    def ahead_of(self, rank: int) -> int:
        """Counts the waiters that would be served before a new one."""
        return int(self._waiters.bisect_key_left((rank + 1, -1)))

    def add(self, call: Call, limit: int) -> Waiter | Failure:
        """Adds a waiter unless the queue is full of more urgent ones.

        A call that waits again keeps its first place.
        """
        if call.sequence is None:
            call.sequence = next(self._sequences)
        loop = asyncio.get_running_loop()
        waiter = Waiter(call, call.sequence, loop.create_future())
        if len(self._waiters) >= limit:
            last = self._waiters[-1] if self._waiters else None
            if last is None or last.order < waiter.order:
                reason = f'{len(self._waiters)} requests are waiting'
                return Failure(ErrorKind.overloaded, reason)
            self._waiters.remove(last)
            reason = 'shed for a more urgent request'
            last.future.set_result(Failure(ErrorKind.overloaded, reason))
        self._waiters.add(waiter)
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Removes a waiter that stopped waiting."""
        self._waiters.discard(waiter)

    @property
    def first(self) -> Waiter:
        """Returns the first waiter of a queue that is not empty."""
        waiter: Waiter = self._waiters[0]
        return waiter


def _order(waiter: Waiter) -> tuple[int, int]:
    return waiter.order


__all__ = ('WaitQueue', 'Waiter')
