"""A change of the configuration and its possible results."""

from dataclasses import dataclass

from radishlift.config.document import ConfigDocument
from radishlift.config.merge import FieldChange
from radishlift.config.snapshot import Snapshot
from radishlift.core.errors import Failure
from radishlift.core.ids import ConfigVersion
from radishlift.settings.sections import SettingsError


@dataclass(frozen=True, slots=True)
class Change:
    """A new text with its base version, its operator and the reason."""

    text: str
    base: ConfigVersion
    who: str
    why: str


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is durable as this version.

    `changes` are the fields that differ from the previous version. `merged`
    are sections that concurrent changes altered and that were kept. If
    `changes` is empty, the head already had this text and no version was
    added.
    """

    snapshot: Snapshot
    changes: tuple[FieldChange, ...]
    merged: tuple[str, ...]

    @property
    def version(self) -> ConfigVersion:
        """Returns the version that contains the change."""
        return self.snapshot.version

    @property
    def document(self) -> ConfigDocument:
        """Returns the document that contains the change."""
        return self.snapshot.document


@dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """The text has errors; nothing was stored."""

    errors: tuple[SettingsError, ...]


@dataclass(frozen=True, slots=True)
class ConflictField:
    """A field of a section that two operators changed.

    `version` and `who` identify the latest change by another operator;
    version 0 means that none was found in the versions searched.
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
    """The change conflicts with a concurrent one; nothing was stored.

    `fields` are the fields of sections that both changes altered. If there
    are none, the merged text is invalid and `errors` lists why.
    """

    head: ConfigVersion
    fields: tuple[ConflictField, ...]
    errors: tuple[SettingsError, ...] = ()


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A version with its operator, time, reason and changed keys."""

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
