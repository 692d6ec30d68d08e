"""Follows the changes of a table of the store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from radishlift.cell.ports import CellStore, ChangedRows, PartialSnapshot
from radishlift.cell.settings import CellSettings
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.services.api import Row

_PROBE_WAIT_MS: Final = 20


@dataclass(frozen=True, slots=True)
class FollowedTable:
    """A table to follow, the pause between reads and their wait time.

    Without `wait_ms` the daemon's setting applies.
    """

    table: str
    pause_ms: int = 0
    wait_ms: int | None = None


class TableFollower:
    """Passes a snapshot of a table to callbacks, and then all changes.

    A snapshot is read at the start and after the store has dropped its
    history. It contains all rows: the callback must treat rows that are
    missing in it as removed. `is_store_lost` is true after a failed read, and
    `last_contact_ms` is the time of the latest successful one. `on_read` gets
    the time at which each successful read was requested, and `on_regained`
    how long the store could not be read. `choose_rest_ms` returns the part of
    the wait for changes in which the table is not read.
    """

    def __init__(
        self,
        store: CellStore,
        followed: FollowedTable,
        settings: CellSettings,
        clock: Clock,
    ) -> None:
        self._store = store
        self._followed = followed
        self._settings = settings
        self._clock = clock
        self._version: int | None = None
        self._partial = PartialSnapshot()
        self._reads_count = 0
        self._requested_at_ms = 0
        self._lost_at_ms = 0
        self.is_store_lost = False
        self.last_contact_ms: int | None = None
        self.on_read: Callable[[int], None] = _ignore_time
        self.on_regained: Callable[[int], None] = _ignore_time
        self.choose_rest_ms: Callable[[], int] = _no_rest
        self._rest_ms = 0

    @property
    def progress(self) -> tuple[int, int]:
        """Returns what changes with each read and each page of a snapshot."""
        return self._reads_count, self._partial.pages_count

    async def run(
        self,
        on_snapshot: Callable[[tuple[Row, ...]], None],
        on_changes: Callable[[tuple[Row, ...]], None],
    ) -> None:
        """Follows the table until it is cancelled."""
        while True:
            is_snapshot = self._version is None
            # Rows that an earlier, failed snapshot has read are as old as it.
            if not self._partial.pages_count:
                self._requested_at_ms = self._clock.monotonic_ms()
            changed = await self._read()
            if isinstance(changed, Failure):
                await self._handle_failure(changed)
                continue
            self._record_contact()
            self._version = changed.version
            self._partial = PartialSnapshot()
            self._reads_count += 1
            if is_snapshot:
                on_snapshot(changed.rows)
            elif changed.rows:
                on_changes(changed.rows)
            self.on_read(self._requested_at_ms)
            self._rest_ms = self.choose_rest_ms()
            pause_ms = self._followed.pause_ms + self._rest_ms
            if pause_ms and not is_snapshot:
                await asyncio.sleep(pause_ms / 1000)

    async def _read(self) -> ChangedRows | Failure:
        table = self._followed.table
        if self._version is None:
            return await self._store.snapshot(table, self._partial)
        wait_ms = self._followed.wait_ms or self._settings.feed_wait_ms
        if self.is_store_lost:
            # A read that waits would show late that the store is back.
            wait_ms = min(wait_ms, _PROBE_WAIT_MS)
        return await self._store.changes(
            table, self._version, max(0, wait_ms - self._rest_ms)
        )

    async def _handle_failure(self, failure: Failure) -> None:
        if failure.kind is ErrorKind.not_found:
            log_event('history_dropped', table=self._followed.table)
            self._version = None
            return
        if not self.is_store_lost:
            self.is_store_lost = True
            self._lost_at_ms = self._requested_at_ms
            log_event(
                'store_lost',
                table=self._followed.table,
                reason=failure.reason,
            )
        await asyncio.sleep(self._settings.feed_retry_ms / 1000)

    def _record_contact(self) -> None:
        now_ms = self._clock.monotonic_ms()
        self.last_contact_ms = now_ms
        if self.is_store_lost:
            self.is_store_lost = False
            self.on_regained(now_ms - self._lost_at_ms)
            log_event('store_regained', table=self._followed.table)


def _no_rest() -> int:
    return 0


def _ignore_time(_: int) -> None:
    """Ignores a time."""


__all__ = ('FollowedTable', 'TableFollower')
