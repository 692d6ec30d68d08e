"""Reads JSON of other writers, which may contain anything.

Readers raise one of `DECODE_ERRORS` for bytes or fields that can't be used.
They never include such a field in an error, as it may be large or nested.
"""

from json import JSONDecoder
from math import isfinite
from typing import Any, Final, NoReturn

DECODE_ERRORS: Final = (
    ArithmeticError,
    AttributeError,
    IndexError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)

# Integers up to this size are exact in all JSON implementations, and can be
# converted to float and to 64 bits.
_MAX_INTEGER: Final = 2**53
_MAX_DEPTH: Final = 64
_MAX_REASON_CHARS: Final = 200


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f'{name} is not JSON')


# Python also reads NaN and Infinity, which are not JSON.
_DECODER: Final = JSONDecoder(parse_constant=_refuse_constant)


def read_json(content: bytes) -> Any:
    """Parses JSON; raises ValueError if it is invalid or nested too deeply."""
    try:
        text = content.decode()
    except UnicodeDecodeError as error:
        # The error itself contains the bytes.
        raise ValueError(f'byte {error.start} is not UTF-8') from None
    try:
        return _DECODER.decode(text)
    except RecursionError as error:
        raise ValueError('nested too deeply') from error


def read_object(content: bytes) -> dict[str, Any]:
    """Parses a JSON object that is not nested too deeply to be stored.

    Raises ValueError or TypeError for anything else.
    """
    plain = read_json(content)
    if not isinstance(plain, dict):
        raise TypeError(f'expected an object, not {type(plain).__name__}')
    if _is_too_deep(plain):
        raise ValueError(f'nested more than {_MAX_DEPTH} levels deep')
    return plain


def read_text(field: object) -> str:
    """Returns a text of valid Unicode; raises TypeError or ValueError."""
    if not isinstance(field, str):
        raise TypeError(f'expected text, not {type(field).__name__}')
    try:
        field.encode()
    except UnicodeEncodeError:
        # JSON escapes can form lone surrogates, which can't be sent or logged.
        # The error itself contains the text.
        raise ValueError('expected text of valid Unicode') from None
    return field


def read_name(field: object) -> str:
    """Returns a text that is not empty; raises TypeError or ValueError."""
    text = read_text(field)
    if not text:
        raise ValueError('expected text that is not empty')
    return text


def read_integer(field: object) -> int:
    """Returns an integer of limited size; raises TypeError or ValueError."""
    if isinstance(field, bool) or not isinstance(field, int):
        raise TypeError(f'expected an integer, not {type(field).__name__}')
    if abs(field) > _MAX_INTEGER:
        raise ValueError(f'integer exceeds {_MAX_INTEGER}')
    return field


def read_count(field: object) -> int:
    """Returns an integer from 0; raises TypeError or ValueError."""
    count = read_integer(field)
    if count < 0:
        raise ValueError('expected an integer from 0')
    return count


def read_number(field: object) -> float:
    """Returns a number of limited size; raises TypeError or ValueError."""
    if not isinstance(field, float):
        return read_integer(field)
    if not isfinite(field) or abs(field) > _MAX_INTEGER:
        raise ValueError(f'number exceeds {_MAX_INTEGER}')
    return field


def read_list(field: object) -> list[Any]:
    """Returns a list; raises TypeError for anything else."""
    if not isinstance(field, list):
        raise TypeError(f'expected a list, not {type(field).__name__}')
    return field


def describe(error: Exception) -> str:
    """Returns a short description of a decoding error for the log."""
    return repr(error)[:_MAX_REASON_CHARS]


def _is_too_deep(plain: dict[str, Any]) -> bool:
    level: list[Any] = [plain]
    for _ in range(_MAX_DEPTH):
        level = [
            part
            for container in level
            for part in _list_parts(container)
            if isinstance(part, dict | list)
        ]
        if not level:
            return False
    return True


def _list_parts(container: Any) -> Any:
    return container.values() if isinstance(container, dict) else container


__all__ = (
    'DECODE_ERRORS',
    'describe',
    'read_count',
    'read_integer',
    'read_json',
    'read_list',
    'read_name',
    'read_number',
    'read_object',
    'read_text',
)
