"""Registration and encoding of the journal's record types.

A record is a frozen dataclass of plain fields; it is stored as the pair
`[name, fields]`. Modules that own durable state register their own records.
"""

from collections.abc import Callable
from typing import Any, TypeVar

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.kinds import RECORDS, UnknownFormat
from radishlift.core.levels import LOWEST_LEVEL

Record = TypeVar('Record')


def record(
    name: str,
    level: int = LOWEST_LEVEL,
) -> Callable[[type[Record]], type[Record]]:
    """Returns a decorator that registers a dataclass as a record type.

    The record is written only if the cell's format level is at least `level`.
    """
    return RECORDS.register(name, level)


def encode_record(typed: object) -> list[Any]:
    """Converts a record to its stored form `[name, fields]`."""
    return list(RECORDS.encode(typed))


def decode_record(stored: Any) -> Any:
    """Decodes a stored record.

    Returns an `UnknownFormat` for a record of unknown kind, and an
    `internal` failure for a damaged one.
    """
    match stored:
        case [str(name), dict(plain)]:
            typed = RECORDS.decode(name, plain)
            if isinstance(typed, UnknownFormat):
                return typed
            if isinstance(typed, Failure):
                return Failure(ErrorKind.internal, f'{name}: {typed.reason}')
            return typed
    return Failure(ErrorKind.internal, f'not a record: {stored!r:.80}')


__all__ = ('decode_record', 'encode_record', 'record')
