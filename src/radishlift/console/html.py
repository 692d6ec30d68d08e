"""Builds HTML and escapes all text."""

from collections.abc import Iterable
from dataclasses import dataclass
from html import escape
from typing import Final

_VOID_TAGS: Final = frozenset(('br', 'input', 'link', 'meta'))


@dataclass(frozen=True, slots=True)
class Html:
    """Escaped markup, as opposed to plain text, which is a `str`."""

    markup: str = ''

    def __str__(self) -> str:
        return self.markup


Child = Html | str | int | float | None | Iterable['Child']
Attribute = str | int | float | bool | None


def tag(name: str, /, *children: Child, **attributes: Attribute) -> Html:
    """Builds an element; its text and attributes are escaped.

    An attribute that is None or False is left out; underscores in attribute
    names become hyphens and a trailing one is dropped, as in `class_`.
    """
    shown = ''.join(
        _format_attribute(key, value) for key, value in attributes.items()
    )
    if name in _VOID_TAGS:
        return Html(f'<{name}{shown}>')
    return Html(f'<{name}{shown}>{join(children)}</{name}>')


def join(children: Child) -> Html:
    """Joins markup and text; text is escaped."""
    if children is None:
        return Html()
    if isinstance(children, Html):
        return children
    if isinstance(children, str | int | float):
        return Html(escape(str(children)))
    return Html(''.join(join(child).markup for child in children))


def table(headings: Iterable[str], rows: Iterable[Iterable[Child]]) -> Html:
    """Builds a table with a heading row."""
    head = tag('tr', [tag('th', heading) for heading in headings])
    body = [tag('tr', [tag('td', cell) for cell in row]) for row in rows]
    return tag('table', tag('thead', head), tag('tbody', body))


def hidden_field(name: str, value: str | int) -> Html:
    """Builds a hidden form field."""
    return tag('input', type='hidden', name=name, value=value)


def _format_attribute(key: str, value: Attribute) -> str:
    if value is None or value is False:
        return ''
    name = key.rstrip('_').replace('_', '-')
    if value is True:
        return f' {name}'
    return f' {name}="{escape(str(value))}"'


__all__ = ('Child', 'Html', 'hidden_field', 'join', 'table', 'tag')
