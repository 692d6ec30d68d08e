"""Rejects jobs that may have waited while this daemon was suspended.

A cancel that arrives before its job is kept for `forget_ended_ms`. A daemon
that was suspended for longer, with its host or alone, may still have the
submission in a socket, and would store a job that was cancelled long ago.
"""

import asyncio
from collections.abc import Mapping
from typing import Any

from radishlift.cell.entry_rows import EntryRows
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import JOBS
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.services.api import Row


class SuspensionMonitor:
    """Notices that this process has not run for a long time.

    Whichever comes first after the suspension notices it: `run` or a request.
    """

    def __init__(self, settings: CellSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._active_at_ms = clock.monotonic_ms()
        self._recovers_until_ms = self._active_at_ms

    async def run(self) -> None:
        """Records that the process runs until it is cancelled."""
        while True:
            self._observe()
            await asyncio.sleep(self._settings.suspension_check_ms / 1000)

    def is_recovering(self) -> bool:
        """Returns whether requests may be from before a suspension."""
        return self._observe() < self._recovers_until_ms

    def _observe(self) -> int:
        now_ms = self._clock.monotonic_ms()
        paused_ms = now_ms - self._active_at_ms
        self._active_at_ms = now_ms
        # The other half is for late calls of the store and for the deadline
        # of a cancel.
        if paused_ms > self._settings.forget_ended_ms // 2:
            self._recovers_until_ms = now_ms + self._settings.recovery_ms
            log_event('daemon_was_suspended', paused_ms=paused_ms)
        return now_ms


class RecentRows:
    """Rows of the store, without inserts of jobs right after a suspension."""

    def __init__(self, rows: EntryRows, suspension: SuspensionMonitor) -> None:
        self._rows = rows
        self._suspension = suspension

    async def read(self, table: str, key: str) -> Row | Failure:
        """Reads one row; an absent row has version 0."""
        return await self._rows.read(table, key)

    async def insert(
        self,
        table: str,
        key: str,
        row: Mapping[str, Any],
    ) -> Failure | None:
        """Inserts a row; fails with `overloaded` right after a suspension."""
        if table == JOBS and self._suspension.is_recovering():
            return Failure(ErrorKind.overloaded, 'this daemon was suspended')
        return await self._rows.insert(table, key, row)


__all__ = ('RecentRows', 'SuspensionMonitor')
