"""Applies the entries of targets, and handles those that are missing."""

from collections.abc import Callable
from typing import Any

from radishlift.cell.scheduler import Scheduler
from radishlift.cell.session_context import StopEvidence
from radishlift.cell.sessions import TargetSession
from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.logs import log_event
from radishlift.services.api import Row
from radishlift.steps.ids import TargetId
from radishlift.steps.targets import TargetEntry, TargetState

EntryDecoder = Callable[[str, Any], TargetEntry | Failure]


class TargetEntries:
    """Adds, updates and removes targets as their entries change.

    Entries also expire while the store is down, and another writer may
    replace them, so the tasks of a target without an entry may still run. It
    gets no new ones, and stays until its process is known to have ended or its
    lease has expired.
    """

    def __init__(
        self, scheduler: Scheduler, decode: EntryDecoder, clock: Clock
    ) -> None:
        self._scheduler = scheduler
        self._decode = decode
        self._clock = clock

    def replace(self, rows: tuple[Row, ...]) -> None:
        """Applies a complete list of entries."""
        listed = {TargetId(row.key) for row in rows}
        for target_id in self._scheduler.fleet:
            if target_id not in listed:
                self._remove(target_id)
        for row in rows:
            # A list does not tell when its rows were written.
            self._scheduler.fleet.entry_writes.forget(TargetId(row.key))
            self._apply(row)

    def update(self, rows: tuple[Row, ...]) -> None:
        """Applies changed entries."""
        for row in rows:
            if self._apply(row):
                self._scheduler.fleet.entry_writes.record_write(
                    TargetId(row.key)
                )

    def _apply(self, row: Row) -> bool:
        """Applies a row; returns whether its target has written it."""
        target_id = TargetId(row.key)
        if row.value is None:
            self._remove(target_id)
            return False
        entry = self._decode(row.key, row.value)
        if isinstance(entry, Failure):
            log_event('bad_target_entry', target=row.key, reason=entry.reason)
            self._suspend(target_id)
            return False
        self._scheduler.update_target(entry)
        return True

    def _remove(self, target_id: TargetId) -> None:
        writes = self._scheduler.fleet.entry_writes
        now_ms = self._clock.monotonic_ms()
        session = self._scheduler.fleet.find_session(target_id)
        if session is None:
            writes.forget(target_id)
            return
        entry = session.target.entry
        has_left = entry.state is TargetState.draining and writes.is_deliberate(
            target_id, now_ms, entry.remaining_ms
        )
        writes.forget(target_id)
        self._unlist(session, has_left=has_left)

    def _suspend(self, target_id: TargetId) -> None:
        # Another writer's row says nothing about how long its target is silent.
        self._scheduler.fleet.entry_writes.forget(target_id)
        session = self._scheduler.fleet.find_session(target_id)
        if session is not None:
            self._unlist(session, has_left=False)

    def _unlist(self, session: TargetSession, *, has_left: bool) -> None:
        target = session.target
        target.is_listed = False
        target.has_left = has_left
        log_event(
            'target_unlisted',
            target=session.target_id,
            attempts_count=len(target.allocations),
            has_left=has_left,
            is_reachable=target.is_reachable,
        )
        is_stopped = has_left and not target.is_reachable
        if target.allocations and not is_stopped:
            # A poll shows whether the process has ended.
            session.notify()
            return
        self._scheduler.attempts.on_stopped(session, StopEvidence.left)


__all__ = ('EntryDecoder', 'TargetEntries')
