"""Reads versions of the document, their history and who changed a field."""

from collections import OrderedDict
from typing import Final

from radishlift.config.changes import ConflictField, HistoryEntry
from radishlift.config.checks import POLICY_NAMES
from radishlift.config.document import ConfigDocument
from radishlift.config.kinds import sections_of
from radishlift.config.merge import diff_sections
from radishlift.config.parsing import build_document, parse_document
from radishlift.config.rows import (
    ConfigRow,
    Head,
    read_current_version,
    read_version,
)
from radishlift.config.text import Sections, scan_text
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.platform.api import TableStore

MAX_HISTORY_COUNT: Final = 100

_CACHED_COUNT: Final = 2
_MAX_SEARCHED_COUNT: Final = 64
_NOBODY: Final = (ConfigVersion(0), '')


class VersionReader:
    """Reads immutable versions and keeps the last ones in memory."""

    def __init__(
        self,
        store: TableStore,
        policies: tuple[str, ...] = POLICY_NAMES,
    ) -> None:
        self._store = store
        self._policies = policies
        self._cache: OrderedDict[ConfigVersion, Sections] = OrderedDict()

    def remember(self, version: ConfigVersion, sections: Sections) -> None:
        """Keeps the sections of a version that was just written."""
        self._cache[version] = sections
        self._cache.move_to_end(version)
        while len(self._cache) > _CACHED_COUNT:
            self._cache.popitem(last=False)

    async def sections(self, version: ConfigVersion) -> Sections | Failure:
        """Returns the sections of a version; version 0 is empty."""
        if not version:
            return {}
        cached = self._cache.get(version)
        if cached is not None:
            return cached
        row = await read_current_version(self._store, version)
        if isinstance(row, Failure):
            return row
        sections = self._parse(row.text, version)
        if not isinstance(sections, Failure):
            self.remember(version, sections)
        return sections

    async def document(
        self,
        version: ConfigVersion,
    ) -> ConfigDocument | Failure:
        """Returns a kept version; version 0 is the empty document."""
        sections = await self.sections(version)
        if isinstance(sections, Failure):
            return sections
        document = build_document(sections, version, self._policies)
        if isinstance(document, tuple):
            reason = f'version {version}: {document[0]}'
            return Failure(ErrorKind.internal, reason)
        return document

    async def history(
        self,
        newest: ConfigVersion,
        count: int,
    ) -> tuple[HistoryEntry, ...] | Failure:
        """Lists kept versions from the newest given one downwards."""
        entries: list[HistoryEntry] = []
        oldest = max(0, newest - min(count, MAX_HISTORY_COUNT))
        for number in range(newest, oldest, -1):
            version = ConfigVersion(number)
            row = await read_version(self._store, version)
            if isinstance(row, Failure):
                if row.kind is ErrorKind.not_found:
                    break
                return row
            entries.append(_entry(version, row))
        return tuple(entries)

    async def conflict_fields(
        self,
        base: ConfigVersion,
        head: Head,
        clashing: tuple[str, ...],
        ours: Sections,
    ) -> tuple[ConflictField, ...] | Failure:
        """Describes the fields of clashing sections that others changed."""
        before = await self.sections(base)
        theirs = await self.sections(head.version)
        if isinstance(before, Failure):
            return before
        if isinstance(theirs, Failure):
            return theirs
        changes = [
            change
            for change in diff_sections(before, theirs)
            if change.section in clashing
        ]
        wanted = {(change.section, change.key) for change in changes}
        changers = await self._find_changers(base, head.version, wanted)
        return tuple(
            ConflictField(
                change.section,
                change.key,
                change.before,
                change.after,
                ours.get(change.section, {}).get(change.key),
                *changers.get((change.section, change.key), _NOBODY),
            )
            for change in changes
        )

    async def _find_changers(
        self,
        base: ConfigVersion,
        newest: ConfigVersion,
        wanted: set[tuple[str, str]],
    ) -> dict[tuple[str, str], tuple[ConfigVersion, str]]:
        found: dict[tuple[str, str], tuple[ConfigVersion, str]] = {}
        oldest = max(base, newest - _MAX_SEARCHED_COUNT)
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

    def _parse(self, text: str, version: ConfigVersion) -> Sections | Failure:
        # Parsing adds the defaults of keys that the writer's release lacked.
        document = parse_document(text, version, self._policies)
        if not isinstance(document, tuple):
            return sections_of(document)
        sections = scan_text(text)
        if isinstance(sections, tuple):
            reason = f'version {version}: {sections[0]}'
            return Failure(ErrorKind.internal, reason)
        return sections


def _entry(version: ConfigVersion, row: ConfigRow) -> HistoryEntry:
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
