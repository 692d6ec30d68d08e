"""Notices that a leader can't do its work, although it keeps the lead.

Other daemons see only that a leader writes. One that writes but can't read, or
reaches no target, has to step down by itself.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from radishlift.cell.commits import CommitLog
from radishlift.cell.fleet import TargetFleet
from radishlift.cell.settings import CellSettings
from radishlift.core.clock import Clock
from radishlift.core.logs import log_event

_CHECK_MS: Final = 200
# If others could not do the work either, the lead goes round ever more slowly.
_MAX_DOUBLINGS: Final = 4


@dataclass(slots=True)
class _Read:
    """A table that must be read; `progress` changes with each page of it."""

    get_progress: Callable[[], object]
    progress: object
    changed_at_ms: int


class WorkWatch:
    """Watches the reads of a leader and its calls to targets.

    Times count only while the leader commits: an outage that all daemons see
    is no reason to step down. `abandoned_count` is how many leaders have
    stepped down in a row because they could not work.
    """

    def __init__(
        self,
        log: CommitLog,
        fleet: TargetFleet,
        settings: CellSettings,
        clock: Clock,
        abandoned_count: int,
    ) -> None:
        self._log = log
        self._fleet = fleet
        self._settings = settings
        self._clock = clock
        self._factor = 2 ** min(abandoned_count, _MAX_DOUBLINGS)
        self._reads: dict[str, _Read] = {}
        self._in_reach_at_ms = clock.monotonic_ms()
        self._read_limit_ms = settings.load_stall_ms

    def add_read(self, table: str, get_progress: Callable[[], object]) -> None:
        """Watches the reads of a table from now on."""
        now_ms = self._clock.monotonic_ms()
        self._reads[table] = _Read(get_progress, get_progress(), now_ms)

    def remove_read(self, table: str) -> None:
        """Ends the watch of a table that has been read whole."""
        del self._reads[table]

    def end_load(self) -> None:
        """Records that the leader has read all it needs to begin."""
        self._read_limit_ms = self._settings.blind_ms

    async def run(self) -> None:
        """Watches until this leader should step down."""
        while True:
            await asyncio.sleep(_CHECK_MS / 1000)
            reason = self._find_reason(self._clock.monotonic_ms())
            if reason:
                log_event('lead_abandoned', reason=reason)
                return

    def _find_reason(self, now_ms: int) -> str:
        commit_age_ms = now_ms - self._log.confirmed_at_ms
        if commit_age_ms > self._settings.silence_ms:
            self._forget_times(now_ms)
            return ''
        for table, read in self._reads.items():
            progress = read.get_progress()
            if progress != read.progress:
                read.progress = progress
                read.changed_at_ms = now_ms
            stalled_ms = now_ms - read.changed_at_ms
            if stalled_ms > self._read_limit_ms * self._factor:
                return f'no answer about {table} for {stalled_ms} ms'
        if not _is_out_of_reach(self._fleet, now_ms):
            self._in_reach_at_ms = now_ms
        unreached_ms = now_ms - self._in_reach_at_ms
        if unreached_ms > self._settings.out_of_reach_ms * self._factor:
            return f'no answer of any target for {unreached_ms} ms'
        return ''

    def _forget_times(self, now_ms: int) -> None:
        self._in_reach_at_ms = now_ms
        for read in self._reads.values():
            read.changed_at_ms = now_ms


def _is_out_of_reach(fleet: TargetFleet, now_ms: int) -> bool:
    """Returns whether no target answers although some are running."""
    sessions = (fleet.find_session(target_id) for target_id in fleet)
    is_any_reachable = any(
        session is not None and session.target.is_reachable
        for session in sessions
    )
    return not is_any_reachable and fleet.entry_writes.has_recent(now_ms)


__all__ = ('WorkWatch',)
