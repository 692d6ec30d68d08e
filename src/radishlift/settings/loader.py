"""Loads and checks the daemon's INI file."""

from configparser import ConfigParser
from configparser import Error as IniError
from pathlib import Path
from typing import Any, TypeVar

from radishlift.settings.sections import (
    SECTIONS,
    SettingsError,
    parse_section,
)

Section = TypeVar('Section')


class Settings:
    """The sections of a settings file by type."""

    def __init__(self, sections: dict[type, Any]) -> None:
        self._sections = sections

    def get(self, section_type: type[Section]) -> Section:
        """Returns a section, with its defaults if the file lacks it."""
        return self._sections[section_type]


def load_settings(path: Path) -> Settings | tuple[SettingsError, ...]:
    """Reads and checks a settings file.

    Returns all errors of the file, not only the first one.
    """
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding='utf-8'), str(path))
    except (OSError, UnicodeDecodeError, IniError) as error:
        reason = str(error).replace('\n', ' ')
        return (SettingsError('', str(path), reason, 'a readable INI file'),)
    return check_sections(
        {name: dict(parser.items(name)) for name in parser.sections()}
    )


def check_sections(
    given: dict[str, dict[str, str]],
) -> Settings | tuple[SettingsError, ...]:
    """Checks sections, given as texts by section and key.

    Returns all errors, not only the first one.
    """
    known = ', '.join(SECTIONS.names())
    errors = [
        SettingsError(name, '', name, f'one of the sections {known}')
        for name in given
        if SECTIONS.get(name) is None
    ]
    sections: dict[type, Any] = {}
    for name, section_type in SECTIONS:
        parsed = parse_section(name, section_type, given.get(name, {}))
        if isinstance(parsed, tuple):
            errors.extend(parsed)
        else:
            sections[section_type] = parsed
    return tuple(errors) if errors else Settings(sections)


__all__ = ('Settings', 'check_sections', 'load_settings')
