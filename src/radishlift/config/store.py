"""Stores changes of the configuration in the table service."""

import asyncio
from dataclasses import dataclass
from typing import Final
from uuid import uuid4

from radishlift.config.changes import (
    Change,
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeResult,
    HistoryEntry,
)
from radishlift.config.checks import POLICY_NAMES
from radishlift.config.homes import check_partition_removal
from radishlift.config.merge import (
    FieldChange,
    diff_sections,
    keys_by_section,
    merge_sections,
)
from radishlift.config.origin import check_origin
from radishlift.config.rows import (
    ConfigRow,
    Head,
    as_not_run,
    confirm_head,
    read_current_version,
    read_head,
)
from radishlift.config.settings import ConfigSettings
from radishlift.config.snapshot import (
    Errors,
    Snapshot,
    build_snapshot,
    parse_snapshot,
)
from radishlift.config.text import check_size, render_sections
from radishlift.config.versions import MAX_HISTORY_COUNT, VersionReader
from radishlift.config.writer import HeadMoved, Pause, VersionWriter, sleep_ms
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.services.api import Condition, TableStore

MAX_WAITING_CHANGES_COUNT: Final = 64


@dataclass(frozen=True, slots=True)
class _PreparedChange:
    """A merged and checked change, ready to be written after the head."""

    snapshot: Snapshot
    text: str
    changes: tuple[FieldChange, ...]
    merged: tuple[str, ...]
    conditions: tuple[Condition, ...]


class ConfigStore:
    """Versions of the document in the table service.

    Any daemon may accept a change, without a leader. The conditions on rows
    alone order concurrent changes.
    """

    def __init__(
        self,
        store: TableStore,
        settings: ConfigSettings,
        clock: Clock,
        policies: tuple[str, ...] = POLICY_NAMES,
        pause: Pause = sleep_ms,
    ) -> None:
        self._store = store
        self._settings = settings
        self._clock = clock
        self.policies = policies
        self._reader = VersionReader(store, policies)
        self._writer = VersionWriter(store, settings, clock, pause)
        self._lock = asyncio.Lock()
        self._waiting_count = 0

    async def change(self, change: Change) -> ChangeResult:
        """Validates a change, merges it with concurrent ones and stores it.

        With a failure of kind `store_outcome_unknown` the change may have
        been stored; with every other kind it was not.
        """
        if self._waiting_count >= MAX_WAITING_CHANGES_COUNT:
            return Failure(ErrorKind.overloaded, 'too many changes are waiting')
        deadline_ms = (
            self._clock.monotonic_ms() + self._settings.change_timeout_ms
        )
        self._waiting_count += 1
        try:
            return await self._parse_and_store(change, deadline_ms)
        finally:
            self._waiting_count -= 1

    def cache_snapshot(self, snapshot: Snapshot) -> None:
        """Caches a version that this daemon has, to avoid reading it."""
        if snapshot.version:
            self._reader.add_to_cache(snapshot)

    async def rollback(
        self,
        target: ConfigVersion,
        base: ConfigVersion,
        who: str,
        why: str,
    ) -> ChangeResult:
        """Stores the text of an earlier version as a new version."""
        row = await read_current_version(self._store, target)
        if isinstance(row, Failure):
            return as_not_run(row)
        return await self.change(Change(row.text, base, who, why))

    async def snapshot(self, version: ConfigVersion) -> Snapshot | Failure:
        """Reads a version; fails with `not_found` if it is not stored."""
        snapshot = await self._reader.snapshot(version)
        return (
            as_not_run(snapshot) if isinstance(snapshot, Failure) else snapshot
        )

    async def history(
        self,
        before: ConfigVersion | None = None,
        count: int = MAX_HISTORY_COUNT,
    ) -> tuple[HistoryEntry, ...] | Failure:
        """Lists stored versions older than `before`, the newest first.

        Without `before`, the list starts at the head.
        """
        if before is not None:
            newest = ConfigVersion(before - 1)
            return await self._reader.history(newest, count)
        head = await read_head(self._store)
        if isinstance(head, Failure):
            return head
        return await self._reader.history(head.version, count)

    async def _parse_and_store(
        self,
        change: Change,
        deadline_ms: int,
    ) -> ChangeResult:
        ours = await self._parse(change)
        if isinstance(ours, tuple):
            return ChangeInvalid(ours)
        # Changes of one daemon are written one at a time, since they would
        # otherwise conflict with each other.
        async with self._lock:
            return await self._store_change(change, ours, deadline_ms)

    async def _parse(self, change: Change) -> Snapshot | Errors:
        # Runs in a thread, since parsing a large text would block the event
        # loop for longer than a scheduling decision may take.
        parsed = await asyncio.to_thread(
            parse_snapshot,
            change.text,
            change.base,
            self.policies,
            self._reader.cached_snapshot(change.base),
        )
        origin_errors = check_origin(change.who, change.why)
        if isinstance(parsed, tuple):
            return (*origin_errors, *parsed)
        return origin_errors or parsed

    async def _store_change(
        self,
        change: Change,
        ours: Snapshot,
        deadline_ms: int,
    ) -> ChangeResult:
        head = await self._read_head_from(change.base)
        for _ in range(self._settings.max_races_count):
            if isinstance(head, Failure):
                return head
            prepared = await self._prepare(change, ours, head)
            if not isinstance(prepared, _PreparedChange):
                return prepared
            outcome = await self._write(change, prepared, head, deadline_ms)
            if not isinstance(outcome, HeadMoved):
                return outcome
            head = outcome.head
        reason = 'other changes were written first in every attempt'
        return Failure(ErrorKind.overloaded, reason)

    async def _read_head_from(self, base: ConfigVersion) -> Head | Failure:
        head = await read_head(self._store)
        if isinstance(head, Failure):
            return as_not_run(head)
        if head.version >= base:
            return head
        head = await confirm_head(self._store, head)
        if isinstance(head, Failure) or head.version >= base:
            return head
        reason = f'base version {base} does not exist; newest is {head.version}'
        return Failure(ErrorKind.invalid_input, reason)

    async def _prepare(
        self,
        change: Change,
        ours: Snapshot,
        head: Head,
    ) -> _PreparedChange | ChangeInvalid | ChangeConflict | Failure:
        base = await self._reader.snapshot(change.base)
        if isinstance(base, Failure):
            return as_not_run(base)
        theirs = await self._reader.snapshot(head.version)
        if isinstance(theirs, Failure):
            return as_not_run(theirs)
        merge = merge_sections(base.sections, ours.sections, theirs.sections)
        if merge.clashing:
            return await self._describe_conflict(
                change, ours, head, merge.clashing
            )
        version = ConfigVersion(head.version + 1)
        if merge.sections == ours.sections:
            merged: Snapshot | Errors = ours.at_version(version)
        else:
            merged = build_snapshot(
                merge.sections,
                version,
                self.policies,
                theirs,
            )
        if isinstance(merged, tuple):
            return ChangeConflict(head.version, (), merged)
        text = render_sections(merged.sections)
        errors = check_size(text)
        if errors:
            return ChangeInvalid(errors)
        changes = diff_sections(theirs.sections, merged.sections)
        conditions = await check_partition_removal(self._store, theirs, merged)
        if not isinstance(conditions, tuple):
            return conditions
        return _PreparedChange(
            merged, text, changes, merge.from_theirs, conditions
        )

    async def _describe_conflict(
        self,
        change: Change,
        ours: Snapshot,
        head: Head,
        clashing: tuple[str, ...],
    ) -> ChangeConflict | Failure:
        fields = await self._reader.conflict_fields(
            change.base,
            head,
            clashing,
            ours.sections,
        )
        if isinstance(fields, Failure):
            return Failure(ErrorKind.conflict, fields.reason)
        return ChangeConflict(head.version, fields)

    async def _write(
        self,
        change: Change,
        prepared: _PreparedChange,
        head: Head,
        deadline_ms: int,
    ) -> ChangeAccepted | HeadMoved | Failure:
        if not prepared.changes:
            return await self._accept_unchanged(prepared, head)
        row = ConfigRow(
            prepared.text,
            change.who,
            self._clock.wall_ms(),
            change.why,
            uuid4().hex,
            change.base,
            keys_by_section(prepared.changes),
            list(prepared.merged),
        )
        outcome = await self._writer.insert(
            head,
            row,
            deadline_ms,
            prepared.conditions,
        )
        if isinstance(outcome, HeadMoved | Failure):
            return outcome
        self._reader.add_to_cache(prepared.snapshot)
        return ChangeAccepted(
            prepared.snapshot,
            prepared.changes,
            prepared.merged,
        )

    async def _accept_unchanged(
        self,
        prepared: _PreparedChange,
        head: Head,
    ) -> ChangeAccepted | HeadMoved | Failure:
        current = await confirm_head(self._store, head)
        if isinstance(current, Failure):
            return current
        if current != head:
            return HeadMoved(current)
        snapshot = prepared.snapshot.at_version(head.version)
        return ChangeAccepted(snapshot, (), prepared.merged)


__all__ = ('ConfigStore',)
