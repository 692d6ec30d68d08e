"""Tracks which journal records are durable and notifies waiting callers."""

import asyncio
from typing import Final

from radishlift.core.errors import ErrorKind, Failure

_MAX_POSITION: Final = 2**63


class DurabilityTracker:
    """Tracks by position which records of a journal are durable.

    Records up to `durable_position` are durable or cancelled. After the
    journal was closed, records up to `unknown_position` may have been written
    with its last row; later records were definitely not written.
    """

    def __init__(self) -> None:
        self.durable_position = 0
        self.close_failure: Failure | None = None
        self._unknown_position = 0
        self._cancelled: set[int] = set()
        self._waiters: list[tuple[int, asyncio.Future[Failure | None]]] = []

    async def wait(self, position: int, timeout_ms: int) -> Failure | None:
        """Waits for the outcome of a record.

        The results are those of `PartitionJournal.wait_durable`.
        """
        if position <= self.durable_position:
            return None
        if self.close_failure is not None:
            return self._outcome_after_close(position)
        future: asyncio.Future[Failure | None]
        future = asyncio.get_running_loop().create_future()
        self._waiters.append((position, future))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await future
        except TimeoutError:
            reason = f'journal record not durable within {timeout_ms} ms'
            return Failure(ErrorKind.store_outcome_unknown, reason)

    def mark_durable(self, position: int) -> None:
        """Marks all records up to a position as durable."""
        while position + 1 in self._cancelled:
            position += 1
            self._cancelled.discard(position)
        self.durable_position = position
        self._resolve_waiters(0, position, None)

    def cancel(self, positions: frozenset[int]) -> None:
        """Cancels records and ends the waits at their positions.

        These waits end with `store_outcome_unknown`: earlier records that the
        waiter depends on may have been written. A wait that starts later
        waits for the records before the position.
        """
        reason = 'the record was cancelled before it was sent'
        failure = Failure(ErrorKind.store_outcome_unknown, reason)
        for position in positions:
            self._resolve_waiters(position, position, failure)
        self._cancelled |= positions
        self.mark_durable(self.durable_position)

    def close(self, failure: Failure, unknown_position: int = 0) -> None:
        """Ends all waits; no further record becomes durable."""
        self.close_failure = failure
        self._unknown_position = unknown_position
        unknown = self._outcome_after_close(unknown_position)
        self._resolve_waiters(0, unknown_position, unknown)
        self._resolve_waiters(0, _MAX_POSITION, failure)

    def _outcome_after_close(self, position: int) -> Failure | None:
        if position <= self._unknown_position:
            reason = (
                'ownership lost before the outcome of the journal row was known'
            )
            return Failure(ErrorKind.store_outcome_unknown, reason)
        return self.close_failure

    def _resolve_waiters(
        self, first: int, last: int, outcome: Failure | None
    ) -> None:
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
