"""Access to the store that ends as soon as the store is lost.

While the store is lost no call is sent: what is refused then can't take effect
later, and nothing waits for an answer that will not come.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from radishlift.cell.ports import CellStore, ChangedRows, PartialSnapshot
from radishlift.cell.store_watch import StoreWatch
from radishlift.core.errors import ErrorKind, Failure
from radishlift.services.api import Committed, Conflict, Row, Transaction

_Answer = TypeVar('_Answer')

_REASON: Final = 'the store does not respond'


class StoreGuard:
    """A `CellStore` that refuses calls while the store is lost."""

    def __init__(self, store: CellStore, watch: StoreWatch) -> None:
        self._store = store
        self._watch = watch

    async def read(self, table: str, key: str) -> Row | Failure:
        """Reads one row; an absent row has version 0."""
        return await self._call(lambda: self._store.read(table, key))

    async def commit(
        self,
        transaction: Transaction,
    ) -> Committed | Conflict | Failure:
        """Applies a transaction."""
        return await self._call(
            lambda: self._store.commit(transaction),
            lost_kind=ErrorKind.store_outcome_unknown,
        )

    async def snapshot(
        self, table: str, partial: PartialSnapshot | None = None
    ) -> ChangedRows | Failure:
        """Reads a whole table and the version from which to follow it."""
        return await self._call(lambda: self._store.snapshot(table, partial))

    async def changes(
        self,
        table: str,
        after_version: int,
        wait_ms: int,
    ) -> ChangedRows | Failure:
        """Waits for changes of a table."""
        return await self._call(
            lambda: self._store.changes(table, after_version, wait_ms),
            wait_ms,
        )

    def notify_received(self, callback: Callable[[], None]) -> None:
        """Lets a callback run whenever a part of a success arrives."""
        self._store.notify_received(callback)

    async def probe(self, timeout_ms: int, parts_count: int) -> Failure | None:
        """Checks whether the store answers, also while it is lost."""
        return await self._store.probe(timeout_ms, parts_count)

    async def _call(
        self,
        send: Callable[[], Awaitable[_Answer | Failure]],
        wait_ms: int = 0,
        lost_kind: ErrorKind = ErrorKind.store_unavailable,
    ) -> _Answer | Failure:
        if self._watch.is_lost:
            return Failure(ErrorKind.store_unavailable, _REASON)
        scope = asyncio.timeout(None)
        try:
            async with scope:
                with self._watch.track(scope, wait_ms):
                    outcome = await send()
        except TimeoutError:
            if not scope.expired():
                raise
            return Failure(lost_kind, _REASON)
        self._watch.record_outcome(outcome)
        return outcome


__all__ = ('StoreGuard',)
