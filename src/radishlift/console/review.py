"""Pages that show the difference of a change, or its text with errors."""

from collections.abc import Iterable, Mapping
from typing import Final

from aiohttp import web

from radishlift.config.merge import FieldChange, diff_sections
from radishlift.config.snapshot import Snapshot
from radishlift.config.text import render_sections
from radishlift.console.forms import BASE_FIELD, draw_errors
from radishlift.console.guard import TOKEN_FIELD
from radishlift.console.html import Html, hidden_field, table, tag
from radishlift.console.page import Page
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.settings.sections import SettingsError

TEXT_PATH: Final = '/console/text'
ACCEPT_PATH: Final = '/console/accept'

_HEADINGS: Final = ('section', 'key', 'before', 'after')
_MAX_VERSION_DIGITS: Final = 12


def show_review(
    page: Page,
    base: Snapshot,
    changed: Snapshot,
) -> web.Response:
    """Shows the difference to the base and the form to accept it."""
    changes = diff_sections(base.sections, changed.sections)
    if not changes:
        return page.show('Review', tag('p', 'This changes nothing.'))
    fields = [
        hidden_field('text', render_sections(changed.sections)),
        hidden_field(BASE_FIELD, base.version),
        labelled_field('who', 'Your name'),
        labelled_field('why', 'Reason'),
        labelled_field(TOKEN_FIELD, 'Change token', 'password'),
        tag('button', 'Accept change', type='submit'),
    ]
    return page.show(
        'Review',
        tag('p', f'Changes to version {base.version}:'),
        draw_changes(changes),
        page.form(ACCEPT_PATH, fields),
    )


def draw_changes(changes: Iterable[FieldChange]) -> Html:
    """Builds a table of the fields that differ."""
    rows = [
        (
            change.section,
            change.key,
            tag('span', change.before, class_='before'),
            tag('span', change.after, class_='after'),
        )
        for change in changes
    ]
    return table(_HEADINGS, rows)


def show_text_form(
    page: Page,
    text: str,
    base: ConfigVersion,
    errors: tuple[SettingsError, ...] = (),
) -> web.Response:
    """Shows the text in an editor, with its errors."""
    form = page.form(
        TEXT_PATH,
        hidden_field(BASE_FIELD, base),
        # Browsers ignore a newline directly after the opening tag.
        tag('textarea', Html('\n'), text, name='text', spellcheck='false'),
        tag('p', tag('button', 'Review change', type='submit')),
    )
    status = 400 if errors else 200
    title = f'Text on version {base}'
    return page.show(title, draw_errors(errors), form, status=status)


def parse_version(
    posted: Mapping[str, str],
    field_name: str = BASE_FIELD,
) -> ConfigVersion | None:
    """Parses a posted version; None if it is missing or invalid."""
    value = posted.get(field_name, '')
    if len(value) > _MAX_VERSION_DIGITS or not value.isdecimal():
        return None
    return ConfigVersion(int(value))


async def read_posted_snapshot(
    page: Page,
    posted: Mapping[str, str],
    field_name: str = BASE_FIELD,
) -> Snapshot | Failure:
    """Returns the snapshot of a posted version."""
    version = parse_version(posted, field_name)
    if version is None:
        return Failure(
            ErrorKind.invalid_input, f'{field_name} is not a version number'
        )
    return await page.context.config.snapshot_at(version)


def no_document_failure() -> Failure:
    """Returns the failure for a daemon without a configuration."""
    reason = 'No configuration is in force; enter the first one as text.'
    return Failure(ErrorKind.no_configuration, reason)


def labelled_field(name: str, label: str, kind: str = 'text') -> Html:
    """Builds a required field with its label."""
    field = tag('input', type=kind, name=name, id=name, required=True)
    return tag('p', tag('label', label, for_=name), field)


__all__ = (
    'ACCEPT_PATH',
    'TEXT_PATH',
    'draw_changes',
    'no_document_failure',
    'read_posted_snapshot',
    'parse_version',
    'show_review',
    'show_text_form',
)
