"""Reads versions of the document, their history and field authors."""

import asyncio
from collections import OrderedDict
from typing import Final

from radishlift.config.changes import ConflictField, HistoryEntry
from radishlift.config.checks import POLICY_NAMES
from radishlift.config.merge import diff_sections
from radishlift.config.rows import (
    ConfigRow,
    Head,
    read_current_version,
    read_version,
)
from radishlift.config.snapshot import (
    EMPTY_SNAPSHOT,
    Snapshot,
    parse_snapshot,
)
from radishlift.config.text import Sections
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.services.api import TableStore

MAX_HISTORY_COUNT: Final = 100

_CACHED_VERSIONS_COUNT: Final = 2
_MAX_SEARCHED_VERSIONS_COUNT: Final = 64
_UNKNOWN_CHANGER: Final = (ConfigVersion(0), '')


class VersionReader:
    """Reads immutable versions and caches the most recent ones."""

    def __init__(
        self,
        store: TableStore,
        policies: tuple[str, ...] = POLICY_NAMES,
    ) -> None:
        self._store = store
        self._policies = policies
        self._cache: OrderedDict[ConfigVersion, Snapshot] = OrderedDict()

    def add_to_cache(self, snapshot: Snapshot) -> None:
        """Caches a version that was just written or is in force."""
        self._cache[snapshot.version] = snapshot
        self._cache.move_to_end(snapshot.version)
        while len(self._cache) > _CACHED_VERSIONS_COUNT:
            self._cache.popitem(last=False)

    def cached_snapshot(self, version: ConfigVersion) -> Snapshot:
        """Returns a version from the cache, or the empty snapshot."""
        return self._cache.get(version, EMPTY_SNAPSHOT)

    async def snapshot(self, version: ConfigVersion) -> Snapshot | Failure:
        """Reads a version; version 0 is the empty snapshot."""
        if not version:
            return EMPTY_SNAPSHOT
        cached = self._cache.get(version)
        if cached is not None:
            return cached
        row = await read_current_version(self._store, version)
        if isinstance(row, Failure):
            return row
        # Parsing the largest text takes about 25 ms, which would block the
        # event loop for too long.
        parsed = await asyncio.to_thread(
            parse_snapshot,
            row.text,
            version,
            self._policies,
        )
        if isinstance(parsed, tuple):
            reason = f'version {version}: {parsed[0]}'
            return Failure(ErrorKind.internal, reason)
        self.add_to_cache(parsed)
        return parsed

    async def history(
        self,
        newest: ConfigVersion,
        count: int,
    ) -> tuple[HistoryEntry, ...] | Failure:
        """Lists stored versions in descending order, starting at `newest`."""
        entries: list[HistoryEntry] = []
        oldest = max(0, newest - min(count, MAX_HISTORY_COUNT))
        for number in range(newest, oldest, -1):
            version = ConfigVersion(number)
            row = await read_version(self._store, version)
            if isinstance(row, Failure):
                if row.kind is ErrorKind.not_found:
                    break
                return row
            entries.append(_history_entry(version, row))
        return tuple(entries)

    async def conflict_fields(
        self,
        base: ConfigVersion,
        head: Head,
        clashing: tuple[str, ...],
        ours: Sections,
    ) -> tuple[ConflictField, ...] | Failure:
        """Returns the changed fields of clashing sections with both values."""
        before = await self.snapshot(base)
        theirs = await self.snapshot(head.version)
        if isinstance(before, Failure):
            return before
        if isinstance(theirs, Failure):
            return theirs
        differing = [
            *diff_sections(before.sections, theirs.sections),
            *diff_sections(before.sections, ours),
        ]
        wanted = {
            (change.section, change.key): change.before
            for change in differing
            if change.section in clashing
        }
        changers = await self._find_changers(base, head.version, set(wanted))
        return tuple(
            ConflictField(
                title,
                key,
                base_text,
                theirs.sections.get(title, {}).get(key),
                ours.get(title, {}).get(key),
                *changers.get((title, key), _UNKNOWN_CHANGER),
            )
            for (title, key), base_text in sorted(wanted.items())
        )

    async def _find_changers(
        self,
        base: ConfigVersion,
        newest: ConfigVersion,
        wanted: set[tuple[str, str]],
    ) -> dict[tuple[str, str], tuple[ConfigVersion, str]]:
        found: dict[tuple[str, str], tuple[ConfigVersion, str]] = {}
        oldest = max(base, newest - _MAX_SEARCHED_VERSIONS_COUNT)
        for number in range(newest, oldest, -1):
            if len(found) == len(wanted):
                break
            version = ConfigVersion(number)
            row = await read_version(self._store, version)
            if isinstance(row, Failure):
                continue
            for field in _changed_fields(row) & wanted:
                found.setdefault(field, (version, row.who))
        return found


def _history_entry(version: ConfigVersion, row: ConfigRow) -> HistoryEntry:
    return HistoryEntry(
        version,
        row.base,
        row.who,
        row.when_ms,
        row.why,
        row.changed,
        tuple(row.merged),
    )


def _changed_fields(row: ConfigRow) -> set[tuple[str, str]]:
    return {(title, key) for title, keys in row.changed.items() for key in keys}


__all__ = ('MAX_HISTORY_COUNT', 'VersionReader')
