"""A valid document together with its sections.

A new version reuses the entities of an earlier version for sections with the
same text, so that a change of one section of a large document is cheap.
Parsing a whole document of 128 KB takes 22 ms, too long for each change.
"""

from dataclasses import dataclass, replace
from typing import Any, Final

from radishlift.config.checks import POLICY_NAMES, check_document
from radishlift.config.document import ConfigDocument
from radishlift.config.kinds import (
    SECTION_KINDS,
    TITLE_RULE,
    entities_of,
    entity_pairs,
    sections_of,
    split_title,
)
from radishlift.config.text import Sections, limit_errors, scan_text
from radishlift.core.ids import ConfigVersion
from radishlift.settings.sections import SettingsError, parse_section

Errors = tuple[SettingsError, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A document and its sections, which have all keys and a stable order."""

    document: ConfigDocument
    sections: Sections

    @property
    def version(self) -> ConfigVersion:
        """Returns the version of the document."""
        return self.document.version

    def at_version(self, version: ConfigVersion) -> 'Snapshot':
        """Returns a snapshot with the same content and another version."""
        document = replace(self.document, version=version)
        return Snapshot(document, self.sections)


EMPTY_SNAPSHOT: Final = Snapshot(ConfigDocument(ConfigVersion(0)), {})


def snapshot_of(document: ConfigDocument) -> Snapshot:
    """Returns the snapshot of a valid document."""
    return Snapshot(document, sections_of(document))


def parse_snapshot(
    text: str,
    version: ConfigVersion,
    policies: tuple[str, ...] = POLICY_NAMES,
    base: Snapshot = EMPTY_SNAPSHOT,
) -> Snapshot | Errors:
    """Parses and validates a text; returns all errors if it is invalid."""
    sections = scan_text(text)
    if isinstance(sections, tuple):
        return sections
    return build_snapshot(sections, version, policies, base)


def build_snapshot(
    sections: Sections,
    version: ConfigVersion,
    policies: tuple[str, ...] = POLICY_NAMES,
    base: Snapshot = EMPTY_SNAPSHOT,
) -> Snapshot | Errors:
    """Builds a snapshot from sections; returns all errors if invalid."""
    builder = _SnapshotBuilder(base)
    for title, pairs in sections.items():
        builder.add_section(title, pairs)
    document = ConfigDocument(version, **builder.entities)
    # A reference to a section that is present but invalid is not reported as
    # a second error.
    invalid_names = {
        error.section.partition(':')[2] for error in builder.errors
    }
    unchanged = _unchanged_kinds(document, base.document)
    builder.errors.extend(
        error
        for error in check_document(document, policies, unchanged)
        if error.given not in invalid_names
    )
    if builder.errors:
        return limit_errors(builder.errors)
    return Snapshot(document, _sort_sections(document, builder.sections))


class _SnapshotBuilder:
    """Collects entities, their sections and errors."""

    def __init__(self, base: Snapshot) -> None:
        self._base = base
        self.entities: dict[str, Any] = {
            kind.document_field: {} for kind in SECTION_KINDS
        }
        self.sections: Sections = {}
        self.errors: list[SettingsError] = []

    def add_section(self, title: str, pairs: dict[str, str]) -> None:
        """Adds a section, or its errors."""
        kind_and_name = split_title(title)
        if kind_and_name is None:
            self.errors.append(SettingsError(title, '', title, TITLE_RULE))
            return
        kind, name = kind_and_name
        base_pairs = self._base.sections.get(title)
        if base_pairs is not None and base_pairs == pairs:
            base_entities = entities_of(self._base.document, kind)
            self.entities[kind.document_field][name] = base_entities[name]
            self.sections[title] = base_pairs
            return
        if not kind.name_pattern.fullmatch(name):
            self.errors.append(SettingsError(title, '', name, kind.name_rule))
            return
        parsed = parse_section(title, kind.entity_type, pairs)
        if isinstance(parsed, tuple):
            self.errors.extend(parsed)
            return
        self.entities[kind.document_field][name] = parsed
        self.sections[title] = entity_pairs(parsed)


def _unchanged_kinds(
    document: ConfigDocument,
    base: ConfigDocument,
) -> frozenset[str]:
    return frozenset(
        kind.name
        for kind in SECTION_KINDS
        if entities_of(document, kind) == entities_of(base, kind)
    )


def _sort_sections(document: ConfigDocument, sections: Sections) -> Sections:
    ordered: Sections = {}
    for kind in SECTION_KINDS:
        for name in sorted(entities_of(document, kind)):
            title = f'{kind.name}:{name}'
            ordered[title] = sections[title]
    return ordered


__all__ = (
    'EMPTY_SNAPSHOT',
    'Errors',
    'Snapshot',
    'build_snapshot',
    'parse_snapshot',
    'snapshot_of',
)
