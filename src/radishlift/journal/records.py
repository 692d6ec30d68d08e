"""Registry of record types of the journal.

A record is a frozen dataclass of plain fields; it is stored as the pair
`[name, fields]`. Modules that own durable state register their own records.
"""

from collections.abc import Callable
from dataclasses import is_dataclass
from typing import Any, Final, TypeVar

from radishlift.core.codec import dump_plain, parse_plain
from radishlift.core.errors import ErrorKind, Failure

Record = TypeVar('Record')

_TYPES: Final[dict[str, type]] = {}
_NAMES: Final[dict[type, str]] = {}


def record(name: str) -> Callable[[type[Record]], type[Record]]:
    """Returns a decorator that registers a dataclass as a record type."""

    def decorate(record_type: type[Record]) -> type[Record]:
        if not is_dataclass(record_type) or name in _TYPES:
            raise ValueError(f'record {name} is not a new dataclass')
        _TYPES[name] = record_type
        _NAMES[record_type] = name
        return record_type

    return decorate


def encode_record(typed: object) -> list[Any]:
    """Converts a record to its stored form `[name, fields]`."""
    return [_NAMES[type(typed)], dump_plain(typed)]


def decode_record(stored: Any) -> Any:
    """Converts a stored record back, or returns an `internal` failure."""
    match stored:
        case [str(name), dict(plain)] if name in _TYPES:
            typed = parse_plain(plain, _TYPES[name])
            if isinstance(typed, Failure):
                return Failure(ErrorKind.internal, f'{name}: {typed.reason}')
            return typed
    return Failure(ErrorKind.internal, f'unknown record {stored!r:.80}')


__all__ = ('decode_record', 'encode_record', 'record')
