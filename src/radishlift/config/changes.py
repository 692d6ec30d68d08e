"""A change of the configuration and what can become of it."""

from dataclasses import dataclass

from radishlift.config.document import ConfigDocument
from radishlift.config.merge import FieldChange
from radishlift.config.snapshot import Snapshot
from radishlift.core.errors import Failure
from radishlift.core.ids import ConfigVersion
from radishlift.settings.sections import SettingsError


@dataclass(frozen=True, slots=True)
class Change:
    """A new text, the version it was made on, its operator and reason."""

    text: str
    base: ConfigVersion
    who: str
    why: str


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is durable as this version.

    `changes` are the fields changed since the version before it. `merged`
    are sections that racing changes altered and that were kept. Without
    `changes` the head had this text already and no version was added.
    """

    snapshot: Snapshot
    changes: tuple[FieldChange, ...]
    merged: tuple[str, ...]

    @property
    def version(self) -> ConfigVersion:
        """Returns the version that has the change."""
        return self.snapshot.version

    @property
    def document(self) -> ConfigDocument:
        """Returns the document that has the change."""
        return self.snapshot.document


@dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """The text has errors; nothing was stored."""

    errors: tuple[SettingsError, ...]


@dataclass(frozen=True, slots=True)
class ConflictField:
    """A field of a section that two operators changed.

    `version` and `who` tell the latest change by others; version 0 means
    that there is none among the versions searched.
    """

    section: str
    key: str
    base: str | None
    theirs: str | None
    ours: str | None
    version: ConfigVersion
    who: str


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """A racing change won; nothing was stored.

    `fields` are those of clashing sections. Without clashing sections the
    merged text is invalid and `errors` tell why.
    """

    head: ConfigVersion
    fields: tuple[ConflictField, ...]
    errors: tuple[SettingsError, ...] = ()


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A version with its operator, time and reason."""

    version: ConfigVersion
    base: ConfigVersion
    who: str
    when_ms: int
    why: str
    changed: dict[str, list[str]]
    merged: tuple[str, ...]


ChangeResult = ChangeAccepted | ChangeInvalid | ChangeConflict | Failure

__all__ = (
    'Change',
    'ChangeAccepted',
    'ChangeConflict',
    'ChangeInvalid',
    'ChangeResult',
    'ConflictField',
    'HistoryEntry',
)
