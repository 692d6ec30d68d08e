"""Conversion between typed messages and plain data, checked on the way in."""

import json
from typing import Any, Final, TypeVar

from cattrs import Converter, transform_error
from cattrs.errors import BaseValidationError

from radishlift.core.errors import ErrorKind, Failure

Typed = TypeVar('Typed')

_CONVERTER: Final = Converter(forbid_extra_keys=True)
_PARSE_ERRORS: Final = (TypeError, ValueError, KeyError, AttributeError)


def _check_scalar(plain: object, expected: type) -> object:
    # Python's constructors accept too much: int('7') or bool('no') would
    # change a wrong field silently.
    if expected is float and type(plain) is int:
        return float(plain)
    if type(plain) is not expected:
        raise TypeError(f'expected {expected.__name__}')
    return plain


_CONVERTER.register_structure_hook(str, _check_scalar)
_CONVERTER.register_structure_hook(int, _check_scalar)
_CONVERTER.register_structure_hook(float, _check_scalar)
_CONVERTER.register_structure_hook(bool, _check_scalar)


def dump_plain(typed: object) -> Any:
    """Converts a dataclass to maps, lists and scalars."""
    return _CONVERTER.unstructure(typed)


def parse_plain(plain: object, target: type[Typed]) -> Typed | Failure:
    """Converts plain data to a dataclass.

    Returns an `invalid_input` failure that names each wrong field.
    """
    try:
        return _CONVERTER.structure(plain, target)
    except BaseValidationError as error:
        reasons = '; '.join(transform_error(error))
        return Failure(ErrorKind.invalid_input, reasons)
    except _PARSE_ERRORS as error:
        return Failure(ErrorKind.invalid_input, str(error))


def parse_json(text: str | bytes, target: type[Typed]) -> Typed | Failure:
    """Parses JSON text into a dataclass."""
    try:
        plain = json.loads(text)
    except ValueError as error:
        return Failure(ErrorKind.invalid_input, f'not JSON: {error}')
    return parse_plain(plain, target)


__all__ = ('parse_plain', 'parse_json', 'dump_plain')
