"""Entries of a configuration that is reviewed, and what is found in them."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from radishlift.access.keys import Workspace
from radishlift.cell.queues import Queue
from radishlift.core.ids import ConfigVersion, ServiceName


@unique
class Severity(Enum):
    """What a finding means to operators, most severe first.

    Daemons refuse or ignore a configuration with an error. A warning is
    allowed, but probably not intended. A change is a difference from the
    version in force.
    """

    error = 'error'
    warning = 'warning'
    change = 'change'


@unique
class FindingKind(Enum):
    """All kinds of findings."""

    invalid_entry = 'invalid_entry'
    duplicate_workspace = 'duplicate_workspace'
    shared_key = 'shared_key'
    old_version = 'old_version'
    duplicate_queue = 'duplicate_queue'
    hidden_queue = 'hidden_queue'
    unmatched_queue = 'unmatched_queue'
    unknown_service = 'unknown_service'
    no_usable_key = 'no_usable_key'
    no_attempts = 'no_attempts'
    short_objective = 'short_objective'
    short_tickets = 'short_tickets'
    added = 'added'
    removed = 'removed'
    changed = 'changed'
    keys_added = 'keys_added'
    keys_ended = 'keys_ended'
    limit_lowered = 'limit_lowered'

    @property
    def severity(self) -> Severity:
        """Returns what a finding of this kind means."""
        if self in _ERRORS:
            return Severity.error
        return Severity.change if self in _CHANGES else Severity.warning


_ERRORS: Final = frozenset(
    (
        FindingKind.invalid_entry,
        FindingKind.duplicate_workspace,
        FindingKind.shared_key,
        FindingKind.old_version,
    )
)
_CHANGES: Final = frozenset(
    (
        FindingKind.added,
        FindingKind.removed,
        FindingKind.changed,
        FindingKind.keys_added,
        FindingKind.keys_ended,
        FindingKind.limit_lowered,
    )
)


@dataclass(frozen=True, slots=True)
class Finding:
    """A finding, and the entry or place of the document that it is about."""

    kind: FindingKind
    place: str
    text: str

    def __str__(self) -> str:
        return f'{self.kind.severity.value}: {self.place}: {self.text}'

    def to_plain(self) -> dict[str, str]:
        """Returns the fields as texts, with the severity."""
        return {
            'severity': self.kind.severity.value,
            'kind': self.kind.value,
            'place': self.place,
            'text': self.text,
        }


@dataclass(frozen=True, slots=True)
class ConfigEntries:
    """The entries of a configuration, which may contradict each other.

    `services` is None if the document lists none. `invalid` are findings for
    entries that could not be decoded and are absent from the others.
    """

    version: ConfigVersion | None
    max_body_bytes: int | None
    queues: tuple[Queue, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    services: frozenset[ServiceName] | None = None
    invalid: tuple[Finding, ...] = ()


def queue_place(name: str) -> str:
    """Returns the place of a queue."""
    return f'queue {name!r}'


def workspace_place(name: str) -> str:
    """Returns the place of a workspace."""
    return f'workspace {name!r}'


__all__ = (
    'ConfigEntries',
    'Finding',
    'FindingKind',
    'Severity',
    'queue_place',
    'workspace_place',
)
