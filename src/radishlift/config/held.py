"""The document held by one daemon, and updates from and to its versions."""

from collections import deque
from collections.abc import Iterable
from dataclasses import replace
from typing import Any, Final

from radishlift.config.checks import POLICY_NAMES, check_document
from radishlift.config.document import ConfigDocument
from radishlift.config.kinds import (
    SECTION_KINDS,
    entities_of,
    entity_pairs,
    kind_of_title,
)
from radishlift.config.messages import ConfigUpdate
from radishlift.config.parsing import render_document
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.settings.sections import SettingsError, parse_section

_NO_VERSION: Final = ConfigVersion(0)
_REMEMBERED_COUNT: Final = 256


class HeldConfig:
    """A document whose version only goes up.

    It remembers which sections the latest versions changed, so that it can
    update a peer that is a few versions behind by these sections alone.
    """

    def __init__(self, policies: tuple[str, ...] = POLICY_NAMES) -> None:
        self.document: ConfigDocument | None = None
        self.policies = policies
        self._changed: deque[tuple[ConfigVersion, tuple[str, ...]]] = deque(
            maxlen=_REMEMBERED_COUNT,
        )
        self._known_from = _NO_VERSION
        self._text = ''

    @property
    def version(self) -> ConfigVersion:
        """Returns the version held; 0 before the first."""
        return _NO_VERSION if self.document is None else self.document.version

    def replace(
        self,
        document: ConfigDocument,
        base: ConfigVersion = _NO_VERSION,
        changed: Iterable[str] = (),
    ) -> bool:
        """Takes a document if it is newer; tells whether it was taken.

        `changed` are the sections that differ from the version `base`.
        """
        held = self.version
        if document.version <= held:
            return False
        if not base or held < base:
            self._changed.clear()
            self._known_from = document.version
        else:
            self._changed.append((document.version, tuple(changed)))
        self.document = document
        self._text = ''
        return True

    def take(
        self,
        parsed: ConfigDocument | tuple[SettingsError, ...],
    ) -> bool | Failure:
        """Takes a parsed text if it is newer, or tells its first error."""
        if isinstance(parsed, tuple):
            return Failure(ErrorKind.invalid_input, str(parsed[0]))
        return self.replace(parsed)

    def apply(self, update: ConfigUpdate) -> bool | Failure:
        """Applies the sections of an update; tells whether they were newer.

        Fails with `conflict` when the base is newer than the held version.
        """
        if update.version <= self.version:
            return False
        if self.document is None or update.base > self.version:
            reason = f'holds {self.version}, update starts at {update.base}'
            return Failure(ErrorKind.conflict, reason)
        updated = update_document(self.document, update)
        if isinstance(updated, Failure):
            return updated
        errors = check_document(updated, self.policies)
        if errors:
            return Failure(ErrorKind.invalid_input, str(errors[0]))
        return self.replace(updated, update.base, update.sections)

    def update_from(self, version: ConfigVersion) -> ConfigUpdate:
        """Builds an update from a peer's version to the held one."""
        document = self.document
        if document is None or version >= document.version:
            return ConfigUpdate(self.version, version, {})
        titles = self._changed_since(version)
        if titles is None or 2 * len(titles) > _count_sections(document):
            return ConfigUpdate(document.version, _NO_VERSION, {}, self._full())
        sections = {title: _pairs_of(document, title) for title in titles}
        return ConfigUpdate(document.version, version, sections)

    def _changed_since(self, version: ConfigVersion) -> set[str] | None:
        known_from = self._known_from
        if len(self._changed) == _REMEMBERED_COUNT:
            known_from = self._changed[0][0]
        if not version or version < known_from:
            return None
        return {
            title
            for changed_in, titles in self._changed
            if changed_in > version
            for title in titles
        }

    def _full(self) -> str:
        if not self._text and self.document is not None:
            self._text = render_document(self.document)
        return self._text


def update_document(
    document: ConfigDocument,
    update: ConfigUpdate,
) -> ConfigDocument | Failure:
    """Builds the updated document; parses only the changed sections."""
    members: dict[str, dict[str, Any]] = {}
    for title, pairs in update.sections.items():
        kind_and_name = kind_of_title(title)
        if kind_and_name is None:
            return Failure(ErrorKind.invalid_input, f'section {title!r:.80}')
        kind, name = kind_and_name
        if kind.member not in members:
            members[kind.member] = dict(entities_of(document, kind))
        if pairs is None:
            members[kind.member].pop(name, None)
            continue
        entity = parse_section(title, kind.entity_type, pairs)
        if isinstance(entity, tuple):
            return Failure(ErrorKind.invalid_input, str(entity[0]))
        members[kind.member][name] = entity
    changed: dict[str, Any] = members
    return replace(document, version=update.version, **changed)


def _pairs_of(document: ConfigDocument, title: str) -> dict[str, str] | None:
    kind_and_name = kind_of_title(title)
    if kind_and_name is None:
        return None
    kind, name = kind_and_name
    entity = entities_of(document, kind).get(name)
    return None if entity is None else entity_pairs(entity)


def _count_sections(document: ConfigDocument) -> int:
    return sum(len(entities_of(document, kind)) for kind in SECTION_KINDS)


__all__ = ('HeldConfig', 'update_document')
