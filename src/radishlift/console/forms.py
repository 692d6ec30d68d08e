"""Forms for one section of the document."""

from collections.abc import Iterable, Mapping
from dataclasses import MISSING, Field, dataclass, fields
from typing import Any

from radishlift.config.document import ConfigDocument
from radishlift.config.kinds import (
    SectionKind,
    entities_of,
    entity_pairs,
    split_title,
)
from radishlift.console.html import Child, Html, hidden_field, tag
from radishlift.settings.sections import SettingsError

NAME_FIELD = 'section_name'
KIND_FIELD = 'section_kind'
BASE_FIELD = 'base'
REMOVE_FIELD = 'remove'
KEY_PREFIX = 'key_'


@dataclass(frozen=True, slots=True)
class SectionForm:
    """A section that an operator is editing.

    `values` are the texts of its fields, which may be invalid; `errors` are
    shown next to their fields.
    """

    kind: SectionKind
    name: str
    is_new: bool
    values: Mapping[str, str]
    errors: tuple[SettingsError, ...] = ()

    @property
    def title(self) -> str:
        """Returns the title of the section."""
        return f'{self.kind.name}:{self.name}'


def make_section_form(
    document: ConfigDocument, title: str
) -> SectionForm | None:
    """Builds the form of a section; an empty name means a new section.

    Returns None if there is no such kind or section.
    """
    kind_and_name = split_title(title)
    if kind_and_name is None:
        return None
    kind, name = kind_and_name
    if not name:
        return SectionForm(kind, '', is_new=True, values=_default_values(kind))
    entity = entities_of(document, kind).get(name)
    if entity is None:
        return None
    return SectionForm(kind, name, is_new=False, values=entity_pairs(entity))


def parse_section_form(
    document: ConfigDocument,
    posted: Mapping[str, str],
) -> SectionForm | None:
    """Parses a posted form; None if there is no such kind of section."""
    name = posted.get(NAME_FIELD, '').strip()
    kind_and_name = split_title(f'{posted.get(KIND_FIELD, "")}:{name}')
    if kind_and_name is None:
        return None
    kind, _ = kind_and_name
    is_new = name not in entities_of(document, kind)
    return SectionForm(kind, name, is_new, _posted_pairs(kind, posted))


def _posted_pairs(
    kind: SectionKind, posted: Mapping[str, str]
) -> dict[str, str]:
    """Returns the key-value pairs of a posted form without empty fields.

    A key whose field is empty gets its default, if it has one.
    """
    pairs = {}
    for member in fields(kind.entity_type):
        value = posted.get(f'{KEY_PREFIX}{member.name}', '').strip()
        if value:
            pairs[member.name] = ' '.join(value.split())
    return pairs


def draw_form(
    form: SectionForm,
    document: ConfigDocument,
    policies: tuple[str, ...],
) -> list[Child]:
    """Builds the fields of a form with their errors next to them."""
    options = _AllowedValues(document, policies)
    shown = [
        _draw_field(member, form, options.for_key(form.kind, member))
        for member in fields(form.kind.entity_type)
    ]
    keys = {member.name for member in fields(form.kind.entity_type)}
    others = [
        error
        for error in form.errors
        if error.section != form.title or error.key not in keys
    ]
    return [
        draw_errors(others),
        hidden_field(BASE_FIELD, document.version),
        hidden_field(KIND_FIELD, form.kind.name),
        _draw_name(form),
        shown,
        tag('button', 'Review change', type='submit'),
    ]


def draw_errors(errors: Iterable[SettingsError]) -> Html:
    """Builds a list of errors; empty markup without errors."""
    lines = [tag('li', str(error), class_='error') for error in errors]
    return tag('ul', lines) if lines else Html()


@dataclass(frozen=True, slots=True)
class _AllowedValues:
    document: ConfigDocument
    policies: tuple[str, ...]

    def for_key(
        self, kind: SectionKind, member: 'Field[Any]'
    ) -> tuple[str, ...]:
        """Returns the allowed values of a key; empty if any is allowed."""
        if member.name == 'policy':
            return self.policies
        if member.name == 'department':
            return tuple(sorted(self.document.departments))
        if member.name == 'subject':
            subjects = (*self.document.departments, *self.document.services)
            return tuple(sorted(subjects))
        allowed: tuple[str, ...] = member.metadata.get('allowed', ())
        return allowed


def _draw_name(form: SectionForm) -> Html:
    if not form.is_new:
        remove = tag('input', type='checkbox', name=REMOVE_FIELD, value='yes')
        return tag(
            'div',
            hidden_field(NAME_FIELD, form.name),
            tag('p', tag('label', 'Remove this section'), remove),
        )
    field = tag('input', name=NAME_FIELD, value=form.name, required=True)
    return tag('p', tag('label', 'name'), field)


def _draw_field(
    member: 'Field[Any]',
    form: SectionForm,
    options: tuple[str, ...],
) -> Html:
    value = form.values.get(member.name, '')
    name = f'{KEY_PREFIX}{member.name}'
    errors = [
        tag('span', f' allowed is {error.allowed}', class_='error')
        for error in form.errors
        if error.section == form.title and error.key == member.name
    ]
    if options:
        control = _draw_select(name, value, options)
    else:
        control = _draw_input(name, value, member)
    return tag('p', tag('label', member.name, for_=name), control, errors)


def _draw_select(name: str, value: str, options: tuple[str, ...]) -> Html:
    # A value that is no longer allowed stays visible next to its error.
    shown = options if value in options else (value, *options)
    choices = [
        tag('option', option, value=option, selected=option == value)
        for option in shown
    ]
    return tag('select', choices, name=name, id=name)


def _draw_input(name: str, value: str, member: 'Field[Any]') -> Html:
    # Ranges are not checked in the browser: the server reports all errors at
    # once.
    low, high = member.metadata.get('range', (None, None))
    hint = '' if low is None else f' {low} to {high}'
    control = tag('input', name=name, id=name, value=value, size=40)
    return tag('span', control, hint)


def _default_values(kind: SectionKind) -> dict[str, str]:
    return {
        member.name: str(member.default)
        for member in fields(kind.entity_type)
        if member.default is not MISSING and not _is_empty(member.default)
    }


def _is_empty(default: object) -> bool:
    return isinstance(default, tuple) and not default


__all__ = (
    'BASE_FIELD',
    'REMOVE_FIELD',
    'SectionForm',
    'draw_errors',
    'draw_form',
    'make_section_form',
    'parse_section_form',
)
