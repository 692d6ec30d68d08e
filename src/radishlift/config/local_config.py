"""The document in force in one daemon, and updates between its versions."""

from collections import deque
from typing import Final

from radishlift.config.checks import POLICY_NAMES
from radishlift.config.document import ConfigDocument
from radishlift.config.merge import apply_delta, delta_between
from radishlift.config.messages import ConfigUpdate
from radishlift.config.snapshot import (
    EMPTY_SNAPSHOT,
    Snapshot,
    build_snapshot,
)
from radishlift.config.text import render_sections
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.settings.sections import SettingsError

_NO_VERSION: Final = ConfigVersion(0)
_MAX_RECENT_CHANGES_COUNT: Final = 256


class LocalConfig:
    """The document in force in this daemon, whose version never decreases.

    Records which sections the most recent versions changed, so that a peer
    that is a few versions behind is sent only these sections.
    """

    def __init__(self, policies: tuple[str, ...] = POLICY_NAMES) -> None:
        self.snapshot = EMPTY_SNAPSHOT
        self.policies = policies
        self._recent_changes: deque[tuple[ConfigVersion, tuple[str, ...]]] = (
            deque(
                maxlen=_MAX_RECENT_CHANGES_COUNT,
            )
        )
        self._oldest_base = _NO_VERSION

    @property
    def version(self) -> ConfigVersion:
        """Returns the version in force; 0 before the first."""
        return self.snapshot.version

    @property
    def document(self) -> ConfigDocument | None:
        """Returns the document in force; None before the first."""
        return self.snapshot.document if self.version else None

    def replace_if_newer(
        self,
        parsed: Snapshot | tuple[SettingsError, ...],
    ) -> bool | Failure:
        """Replaces the document by a newer one; returns whether it was newer.

        Fails with the first error if `parsed` consists of errors.
        """
        if isinstance(parsed, tuple):
            return Failure(ErrorKind.invalid_input, str(parsed[0]))
        if parsed.version <= self.version:
            return False
        if self.version:
            delta = delta_between(self.snapshot.sections, parsed.sections)
            self._record_change(parsed.version, tuple(delta))
        else:
            self._oldest_base = parsed.version
        self.snapshot = parsed
        return True

    def apply(self, update: ConfigUpdate) -> bool | Failure:
        """Applies the sections of an update; returns whether it was newer.

        Fails with `conflict` if its base is newer than the local version.
        """
        if update.version <= self.version:
            return False
        if not self.version or update.base > self.version:
            reason = (
                f'local version {self.version} is older than the base '
                f'{update.base} of the update'
            )
            return Failure(ErrorKind.conflict, reason)
        updated = build_snapshot(
            apply_delta(self.snapshot.sections, update.sections),
            update.version,
            self.policies,
            self.snapshot,
        )
        return self.replace_if_newer(updated)

    def update_from(self, version: ConfigVersion) -> ConfigUpdate:
        """Builds an update from a peer's version to the local one."""
        local = self.snapshot
        if version >= local.version:
            return ConfigUpdate(local.version, version, {})
        titles = self._changed_since(version)
        if titles is None or 2 * len(titles) > len(local.sections):
            text = render_sections(local.sections)
            return ConfigUpdate(local.version, _NO_VERSION, {}, text)
        sections = {title: local.sections.get(title) for title in titles}
        return ConfigUpdate(local.version, version, sections)

    def _record_change(
        self,
        version: ConfigVersion,
        titles: tuple[str, ...],
    ) -> None:
        if len(self._recent_changes) == _MAX_RECENT_CHANGES_COUNT:
            self._oldest_base = self._recent_changes[0][0]
        self._recent_changes.append((version, titles))

    def _changed_since(self, version: ConfigVersion) -> set[str] | None:
        if not version or version < self._oldest_base:
            return None
        return {
            title
            for changed_in, titles in self._recent_changes
            if changed_in > version
            for title in titles
        }


__all__ = ('LocalConfig',)
