"""JSON bodies of the configuration API, used by its server and clients.

`GET /v1/config[?version=N]` returns a `DocumentBody`. `PUT /v1/config` accepts
a `ChangeBody` and returns an `AcceptedBody` or a `RefusedBody`.
`GET /v1/config/status` returns a `ConfigStatus`, and
`GET /v1/config/history[?before=N&count=N]` a `HistoryBody`.
"""

from dataclasses import dataclass
from typing import Any, Final

from radishlift.config.changes import (
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeResult,
    ConflictField,
    HistoryEntry,
)
from radishlift.config.merge import FieldChange
from radishlift.config.snapshot import Snapshot
from radishlift.config.text import render_sections
from radishlift.core.codec import dump_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.settings.sections import SettingsError

CHANGE_TOKEN_HEADER: Final = 'Radishlift-Change-Token'

_OK: Final = 200


@dataclass(frozen=True, slots=True)
class DocumentBody:
    """A version of the document as text."""

    version: ConfigVersion
    text: str


@dataclass(frozen=True, slots=True)
class ChangeBody:
    """A change; with a `rollback_to` other than 0, `text` is not used."""

    base: ConfigVersion
    who: str
    why: str
    text: str = ''
    rollback_to: ConfigVersion = ConfigVersion(0)


@dataclass(frozen=True, slots=True)
class AcceptedBody:
    """The version that a change created, and the fields that it changed."""

    version: ConfigVersion
    changes: tuple[FieldChange, ...]
    merged: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RefusedBody:
    """The reason for a refused change, in the common format of errors.

    `errors` lists the errors of an invalid text, `fields` the fields in
    conflict with the version `head`.
    """

    error: str
    outcome: str
    reason: str
    retry_after_ms: int | None = None
    errors: tuple[SettingsError, ...] = ()
    fields: tuple[ConflictField, ...] = ()
    head: ConfigVersion = ConfigVersion(0)


@dataclass(frozen=True, slots=True)
class HistoryBody:
    """History entries, the newest first."""

    entries: tuple[HistoryEntry, ...]


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status code and JSON body of an HTTP response."""

    status: int
    body: Any


def document_answer(snapshot: Snapshot) -> HttpAnswer:
    """Returns the response with a version of the document."""
    body = DocumentBody(snapshot.version, render_sections(snapshot.sections))
    return HttpAnswer(_OK, dump_plain(body))


def change_answer(result: ChangeResult) -> HttpAnswer:
    """Returns the response for the result of a change."""
    match result:
        case ChangeAccepted():
            accepted = AcceptedBody(
                result.version,
                result.changes,
                result.merged,
            )
            return HttpAnswer(_OK, dump_plain(accepted))
        case ChangeInvalid():
            reason = f'{len(result.errors)} errors, the first: '
            failure = Failure(
                ErrorKind.invalid_input,
                f'{reason}{result.errors[0]}',
            )
            return refused_answer(failure, errors=result.errors)
        case ChangeConflict():
            reason = f'version {result.head} conflicts with the change'
            return refused_answer(
                Failure(ErrorKind.conflict, reason),
                errors=result.errors,
                fields=result.fields,
                head=result.head,
            )
    return refused_answer(result)


def refused_answer(failure: Failure, **details: Any) -> HttpAnswer:
    """Returns the response for a failed change, with further body fields."""
    answer = failure.answer
    body = RefusedBody(
        failure.kind.value,
        answer.outcome.value,
        failure.reason,
        answer.retry_after_ms,
        **details,
    )
    return HttpAnswer(answer.http_status, dump_plain(body))


__all__ = (
    'CHANGE_TOKEN_HEADER',
    'AcceptedBody',
    'ChangeBody',
    'DocumentBody',
    'HistoryBody',
    'HttpAnswer',
    'RefusedBody',
    'change_answer',
    'document_answer',
    'refused_answer',
)
