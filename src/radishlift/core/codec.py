"""Conversion between dataclasses and plain data, with checked types.

Input of callers and operators is parsed strictly, so that a misspelt field is
an error. Data that daemons write is read with tolerance, because daemons of
two versions share a cell: unknown fields of a newer version are ignored, and
fields that an older version lacks take their defaults.
"""

import json
from typing import Any, Final, TypeVar

from cattrs import Converter, transform_error
from cattrs.errors import BaseValidationError

from radishlift.core.errors import ErrorKind, Failure

Typed = TypeVar('Typed')

_PARSE_ERRORS: Final = (TypeError, ValueError, KeyError, AttributeError)


def _check_scalar(plain: object, expected: type) -> object:
    # Python's constructors would silently convert fields of a wrong type:
    # int('7') is 7, and bool('no') is True.
    if expected is float and type(plain) is int:
        return float(plain)
    if type(plain) is not expected:
        raise TypeError(f'expected {expected.__name__}')
    return plain


def _build_converter(*, is_strict: bool) -> Converter:
    converter = Converter(forbid_extra_keys=is_strict)
    for scalar in (str, int, float, bool):
        converter.register_structure_hook(scalar, _check_scalar)
    return converter


_STRICT: Final = _build_converter(is_strict=True)
_TOLERANT: Final = _build_converter(is_strict=False)


def dump_plain(typed: object) -> Any:
    """Converts a dataclass to dicts, lists and scalars."""
    return _STRICT.unstructure(typed)


def parse_plain(plain: object, target: type[Typed]) -> Typed | Failure:
    """Converts plain data of a caller or operator to a dataclass.

    Returns an `invalid_input` failure that names each invalid or unknown
    field.
    """
    return _parse(_STRICT, plain, target)


def read_plain(plain: object, target: type[Typed]) -> Typed | Failure:
    """Converts plain data that a daemon of any version wrote.

    Unknown fields are ignored, and missing fields take their defaults.
    Returns an `invalid_input` failure that names each invalid field.
    """
    return _parse(_TOLERANT, plain, target)


def _parse(
    converter: Converter,
    plain: object,
    target: type[Typed],
) -> Typed | Failure:
    try:
        return converter.structure(plain, target)
    except BaseValidationError as error:
        reasons = '; '.join(transform_error(error))
        return Failure(ErrorKind.invalid_input, reasons)
    except _PARSE_ERRORS as error:
        return Failure(ErrorKind.invalid_input, str(error))


def parse_json(text: str | bytes, target: type[Typed]) -> Typed | Failure:
    """Parses JSON text of a caller, operator or target, strictly."""
    plain = _load_json(text)
    if isinstance(plain, Failure):
        return plain
    return parse_plain(plain, target)


def read_json(text: str | bytes, target: type[Typed]) -> Typed | Failure:
    """Parses JSON text that a daemon wrote as `read_plain` does."""
    plain = _load_json(text)
    return plain if isinstance(plain, Failure) else read_plain(plain, target)


def _load_json(text: str | bytes) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        return Failure(ErrorKind.invalid_input, f'not JSON: {error}')


__all__ = (
    'dump_plain',
    'parse_json',
    'parse_plain',
    'read_json',
    'read_plain',
)
