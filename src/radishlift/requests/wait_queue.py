"""Bounded queue of the requests of a service that wait for a slot.

Classes are served in the order of their urgency. A waiter of a lower class is
aged after half of its longest wait. One of `AGED_TURN_INTERVAL` turns then goes
to an aged waiter before more urgent ones, so that urgent load does not starve
lower classes, and aged waiters delay urgent classes by no more than that part.
"""

import asyncio
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Final

from sortedcontainers import SortedList

from radishlift.core.errors import ErrorKind, Failure
from radishlift.requests.calls import Call

# One turn in 8 leaves seven eighths of the capacity to the urgent classes when
# they alone could use all of it.
AGED_TURN_INTERVAL: Final = 8
# A quarter of the queue is reserved for lower classes, because a waiter that is
# shed does not become aged.
_LOWER_RESERVE_DIVISOR: Final = 4
# Weight of one turn in the moving average of the share of urgent turns.
_URGENT_SHARE_GAIN: Final = 1 / 64


@dataclass(slots=True)
class Waiter:
    """A waiting request; its future gets a destination or a failure.

    From `aged_at_ms` on it counts as aged.
    """

    call: Call
    sequence: int
    aged_at_ms: int
    future: 'asyncio.Future[Any]' = field(repr=False)

    @property
    def order(self) -> tuple[int, int]:
        """Returns the sort key: by urgency, then by arrival."""
        return (self.call.rank, self.sequence)


class WaitQueue:
    """Orders waiters; a full queue sheds the newest of the least urgent."""

    def __init__(self) -> None:
        self._waiters: SortedList = SortedList(key=_service_order)
        self._lower_waiters: SortedList = SortedList(key=_age_order)
        self._sequences = count()
        self._skipped_aged_count = 0
        self._urgent_share: float = 0

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def lower_count(self) -> int:
        """Returns the number of waiters below the most urgent class."""
        return len(self._lower_waiters)

    @property
    def lower_share(self) -> float:
        """Returns the part of the turns that lower classes can expect."""
        return max(1 - self._urgent_share, 1 / AGED_TURN_INTERVAL)

    def count_ahead(self, rank: int) -> int:
        """Returns how many waiters precede a new waiter of a rank."""
        return int(self._waiters.bisect_key_left((rank + 1, -1)))

    def add(
        self,
        call: Call,
        limit: int,
        aged_at_ms: int = 0,
    ) -> Waiter | Failure:
        """Adds a waiter unless the queue is full of more urgent ones.

        A call that waits again keeps its first arrival number.
        """
        if call.sequence is None:
            call.sequence = next(self._sequences)
        loop = asyncio.get_running_loop()
        waiter = Waiter(call, call.sequence, aged_at_ms, loop.create_future())
        failure = self._ensure_capacity(waiter, limit)
        if failure is not None:
            return failure
        self._waiters.add(waiter)
        if call.rank:
            self._lower_waiters.add(waiter)
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Removes a waiter if it is in the queue."""
        self._waiters.discard(waiter)
        self._lower_waiters.discard(waiter)

    def next_waiter(self, now_ms: int) -> Waiter:
        """Returns the waiter to serve next; the queue must not be empty."""
        first: Waiter = self._waiters[0]
        aged = self._oldest_aged(now_ms)
        if aged is None or aged.call.rank <= first.call.rank:
            return first
        return (
            aged
            if self._skipped_aged_count >= AGED_TURN_INTERVAL - 1
            else first
        )

    def serve(self, waiter: Waiter, now_ms: int) -> None:
        """Removes a waiter that got a destination and counts its turn."""
        aged = self._oldest_aged(now_ms)
        is_passed = aged is not None and waiter.call.rank < aged.call.rank
        self._skipped_aged_count = (
            self._skipped_aged_count + 1 if is_passed else 0
        )
        change = (not waiter.call.rank) - self._urgent_share
        self._urgent_share += _URGENT_SHARE_GAIN * change
        self.discard(waiter)

    def _oldest_aged(self, now_ms: int) -> Waiter | None:
        oldest: Waiter | None = (
            self._lower_waiters[0] if self._lower_waiters else None
        )
        if oldest is None or oldest.aged_at_ms > now_ms:
            return None
        return oldest

    def _ensure_capacity(self, waiter: Waiter, limit: int) -> Failure | None:
        reason = f'{len(self._waiters)} requests are waiting'
        full = Failure(ErrorKind.overloaded, reason)
        has_lower = bool(waiter.call.service.urgent_classes)
        reserved_count = limit // _LOWER_RESERVE_DIVISOR if has_lower else 0
        most_urgent_count = len(self._waiters) - len(self._lower_waiters)
        is_lower = waiter.call.rank > 0
        if not is_lower and most_urgent_count >= limit - reserved_count:
            return full
        if len(self._waiters) < limit:
            return None
        last = self._waiters[-1] if self._waiters else None
        if last is None or last.order < waiter.order:
            return full
        self.discard(last)
        reason = 'shed for a more urgent request'
        last.future.set_result(Failure(ErrorKind.overloaded, reason))
        return None


def _service_order(waiter: Waiter) -> tuple[int, int]:
    return waiter.order


def _age_order(waiter: Waiter) -> tuple[int, int]:
    return (waiter.aged_at_ms, waiter.sequence)


__all__ = ('AGED_TURN_INTERVAL', 'WaitQueue', 'Waiter')
