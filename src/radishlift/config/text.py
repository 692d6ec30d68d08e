"""Conversion between the INI text and sections of key-value pairs.

The grammar is a strict subset of INI: `[kind:name]`, `key = value`, blank
lines and whole-line comments with `#` or `;`. `configparser` is not used
because it stops at the first duplicate, and because its `DEFAULT` section
and continuation lines would let one section change another.
"""

import re
from typing import Final

from radishlift.settings.sections import SettingsError

MAX_DOCUMENT_BYTES: Final = 256 * 1024
MAX_ERRORS_COUNT: Final = 100

Sections = dict[str, dict[str, str]]
"""Key-value pairs by section title, such as `team:wash-floor`."""

_HEADER: Final = re.compile(r'\[([^\[\]]*)\]')
_COMMENT_MARKS: Final = ('#', ';')
_MAX_SHOWN_CHARACTERS: Final = 80
_MAX_ALLOWED_CHARACTERS: Final = 400


def scan_text(text: str) -> Sections | tuple[SettingsError, ...]:
    """Splits a text into sections; returns all syntax errors if any."""
    too_large = check_size(text)
    if too_large:
        return too_large
    scanner = _Scanner()
    for number, line in enumerate(text.replace('\r\n', '\n').split('\n'), 1):
        scanner.scan_line(number, line.strip(' \t'))
    return limit_errors(scanner.errors) or scanner.sections


def check_size(text: str) -> tuple[SettingsError, ...]:
    """Checks the size of a text, which limits the size of rows and messages."""
    size_bytes = len(text.encode('utf-8', 'surrogatepass'))
    if size_bytes <= MAX_DOCUMENT_BYTES:
        return ()
    allowed = f'at most {MAX_DOCUMENT_BYTES} bytes with all keys written'
    return (SettingsError('', '', f'{size_bytes} bytes', allowed),)


def render_sections(sections: Sections) -> str:
    """Formats sections as INI text, in the given order."""
    blocks = []
    for title, pairs in sections.items():
        lines = [f'[{title}]']
        lines.extend(
            f'{key} = {value}'.rstrip() for key, value in pairs.items()
        )
        blocks.append('\n'.join((*lines, '')))
    return ''.join(f'{block}\n' for block in blocks)


def limit_errors(errors: list[SettingsError]) -> tuple[SettingsError, ...]:
    """Limits the number and length of errors, to bound the response size."""
    shown = [_shorten(error) for error in errors[:MAX_ERRORS_COUNT]]
    rest_count = len(errors) - len(shown)
    if rest_count:
        rest = f'{rest_count} more errors'
        shown.append(SettingsError('', '', rest, 'no errors'))
    return tuple(shown)


def _shorten(error: SettingsError) -> SettingsError:
    return SettingsError(
        error.section[:_MAX_SHOWN_CHARACTERS],
        error.key[:_MAX_SHOWN_CHARACTERS],
        error.given[:_MAX_SHOWN_CHARACTERS],
        error.allowed[:_MAX_ALLOWED_CHARACTERS],
    )


class _Scanner:
    """Collects the sections and errors of a text, line by line."""

    def __init__(self) -> None:
        self.sections: Sections = {}
        self.errors: list[SettingsError] = []
        self._title = ''
        self._pairs: dict[str, str] | None = None

    def scan_line(self, number: int, line: str) -> None:
        """Parses one line, which has no surrounding blanks."""
        if not line or line.startswith(_COMMENT_MARKS):
            return
        header = _HEADER.fullmatch(line)
        if _has_control_characters(line):
            self._add_error(number, line, 'printable characters only')
        elif header:
            self._open_section(number, header[1].strip())
        elif line.startswith('[') or '=' not in line:
            self._add_error(number, line, '[kind:name] or key = value')
        elif self._pairs is None:
            self._add_error(number, line, 'a key below a section header')
        else:
            self._set_pair(line, self._pairs)

    def _open_section(self, number: int, title: str) -> None:
        self._title = title
        self._pairs = {}
        if title in self.sections:
            self._add_error(number, title, 'each section only once')
        else:
            self.sections[title] = self._pairs

    def _set_pair(self, line: str, pairs: dict[str, str]) -> None:
        key, _, value = line.partition('=')
        key = key.strip()
        if key in pairs:
            error = SettingsError(
                self._title,
                key,
                value.strip(),
                'each key only once in a section',
            )
            self.errors.append(error)
        else:
            pairs[key] = value.strip()

    def _add_error(self, number: int, line: str, allowed: str) -> None:
        shown = f'line {number}: {line}'
        self.errors.append(SettingsError(self._title, '', shown, allowed))


def _has_control_characters(line: str) -> bool:
    return not line.replace('\t', ' ').isprintable()


__all__ = (
    'MAX_DOCUMENT_BYTES',
    'MAX_ERRORS_COUNT',
    'Sections',
    'check_size',
    'limit_errors',
    'render_sections',
    'scan_text',
)
