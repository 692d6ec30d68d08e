"""Settings sections: frozen dataclasses with checked values.

`bounded`, `required_number` and `choice` declare the allowed values of a
field in its metadata. The `section` decorator registers a dataclass under the
name of its INI section.
"""

from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any, Final, TypeVar

from radishlift.core.registry import Registry

Section = TypeVar('Section')

SECTIONS: Final[Registry[type]] = Registry('settings section')

_YES_WORDS: Final = frozenset(('yes', 'true', 'on', '1'))
_NO_WORDS: Final = frozenset(('no', 'false', 'off', '0'))


@dataclass(frozen=True, slots=True)
class SettingsError:
    """An invalid setting: its place, its value and the allowed values."""

    section: str
    key: str
    given: str
    allowed: str

    def __str__(self) -> str:
        return (
            f'[{self.section}] {self.key} = {self.given!r}: '
            f'allowed is {self.allowed}'
        )


def section(name: str) -> Callable[[type[Section]], type[Section]]:
    """Returns a decorator that registers a dataclass as an INI section."""
    register: Any = SECTIONS.register(name)
    return register


def bounded(default: int | float, low: int | float, high: int | float) -> Any:
    """Declares a number with its default and inclusive range."""
    return field(default=default, metadata={'range': (low, high)})


def required_number(low: float, high: float) -> Any:
    """Declares a number without a default and its inclusive range."""
    return field(metadata={'range': (low, high)})


def choice(default: str, allowed: tuple[str, ...]) -> Any:
    """Declares a text with its default and its allowed values."""
    return field(default=default, metadata={'allowed': allowed})


def parse_section(
    name: str,
    section_type: type[Section],
    pairs: Mapping[str, str],
) -> Section | tuple[SettingsError, ...]:
    """Builds a section from INI pairs, or returns all its errors."""
    known: dict[str, Field[Any]] = {
        member.name: member
        for member in fields(section_type)  # type: ignore[arg-type]
    }
    allowed_keys = f'one of the keys {", ".join(known)}'
    errors = [
        SettingsError(name, key, given, allowed_keys)
        for key, given in pairs.items()
        if key not in known
    ]
    parsed: dict[str, Any] = {}
    for key, member in known.items():
        outcome = _parse_key(name, member, pairs.get(key))
        if isinstance(outcome, SettingsError):
            errors.append(outcome)
        elif key in pairs:
            parsed[key] = outcome
    return tuple(errors) if errors else section_type(**parsed)


def _parse_key(
    section_name: str,
    member: 'Field[Any]',
    given: str | None,
) -> Any:
    if given is None:
        if member.default is MISSING and member.default_factory is MISSING:
            return SettingsError(section_name, member.name, '', 'required')
        return None
    outcome = parse_field(member, given)
    if isinstance(outcome, _InvalidValue):
        allowed = outcome.allowed
        return SettingsError(section_name, member.name, given, allowed)
    return outcome


@dataclass(frozen=True, slots=True)
class _InvalidValue:
    allowed: str


def parse_field(member: 'Field[Any]', given: str) -> Any:
    """Parses a value by the type and allowed values of its field.

    Returns `_InvalidValue` if the value is not allowed.
    """
    kind = getattr(member.type, '__name__', str(member.type))
    if kind in {'int', 'float'}:
        return _parse_number(member, kind, given)
    if kind == 'bool':
        return _parse_bool(given)
    if kind.startswith('tuple'):
        return tuple(part.strip() for part in given.split(',') if part.strip())
    allowed = member.metadata.get('allowed')
    if allowed is not None and given not in allowed:
        return _InvalidValue(f'one of {", ".join(allowed)}')
    return given


def _parse_number(member: 'Field[Any]', kind: str, given: str) -> Any:
    low, high = member.metadata.get('range', (float('-inf'), float('inf')))
    names = {'int': 'a whole number', 'float': 'a number'}
    allowed = f'{names[kind]} from {low} to {high}'
    try:
        number = int(given) if kind == 'int' else float(given)
    except ValueError:
        return _InvalidValue(allowed)
    return number if low <= number <= high else _InvalidValue(allowed)


def _parse_bool(given: str) -> Any:
    if given.lower() in _YES_WORDS:
        return True
    if given.lower() in _NO_WORDS:
        return False
    return _InvalidValue('yes or no')


__all__ = (
    'SECTIONS',
    'SettingsError',
    'bounded',
    'choice',
    'parse_field',
    'parse_section',
    'required_number',
    'section',
)
