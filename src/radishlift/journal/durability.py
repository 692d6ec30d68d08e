"""What became of the records of a journal, for the callers that wait."""

import asyncio
from typing import Final

from radishlift.core.errors import ErrorKind, Failure

_ANY_POSITION: Final = 2**63


class DurabilityTracker:
    """Tracks by position which records of a journal are durable.

    Up to `durable_position` records are durable or were withdrawn. After the
    journal closed, those up to `unknown_position` may have been written by
    its last row, and later ones certainly were not.
    """

    def __init__(self) -> None:
        self.durable_position = 0
        self.closed: Failure | None = None
        self._unknown_position = 0
        self._withdrawn: set[int] = set()
        self._waiters: list[tuple[int, asyncio.Future[Failure | None]]] = []

    async def wait(self, position: int, timeout_ms: int) -> Failure | None:
        """Waits for the outcome of a record; see `PartitionJournal`."""
        if position <= self.durable_position:
            return None
        if self.closed is not None:
            return self._outcome_after_close(position)
        future: asyncio.Future[Failure | None]
        future = asyncio.get_running_loop().create_future()
        self._waiters.append((position, future))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await future
        except TimeoutError:
            reason = f'not journaled within {timeout_ms} ms'
            return Failure(ErrorKind.store_outcome_unknown, reason)

    def mark_durable(self, position: int) -> None:
        """Marks all records up to a position as durable."""
        while position + 1 in self._withdrawn:
            position += 1
            self._withdrawn.discard(position)
        self.durable_position = position
        self._finish(0, position, None)

    def withdraw(self, positions: frozenset[int]) -> None:
        """Ends the waits at these positions, with an unknown outcome.

        A waiter there may depend on earlier records that were sent, so it
        can't be told that nothing was written. Later waits at these positions
        are for the records before them.
        """
        reason = 'a record was withdrawn before it was sent'
        failure = Failure(ErrorKind.store_outcome_unknown, reason)
        for position in positions:
            self._finish(position, position, failure)
        self._withdrawn |= positions
        self.mark_durable(self.durable_position)

    def close(self, failure: Failure, unknown_position: int = 0) -> None:
        """Ends the journal; nothing becomes durable any more."""
        self.closed = failure
        self._unknown_position = unknown_position
        unknown = self._outcome_after_close(unknown_position)
        self._finish(0, unknown_position, unknown)
        self._finish(0, _ANY_POSITION, failure)

    def _outcome_after_close(self, position: int) -> Failure | None:
        if position <= self._unknown_position:
            reason = 'deposed before the outcome of the row was known'
            return Failure(ErrorKind.store_outcome_unknown, reason)
        return self.closed

    def _finish(self, first: int, last: int, outcome: Failure | None) -> None:
        kept = []
        for position, future in self._waiters:
            if future.done():
                continue
            if first <= position <= last:
                future.set_result(outcome)
            else:
                kept.append((position, future))
        self._waiters = kept


__all__ = ('DurabilityTracker',)
