"""Describes dataclasses as plain data: fields, types and defaults."""

from collections.abc import Iterable
from dataclasses import MISSING, Field, dataclass, fields, is_dataclass
from enum import Enum
from types import NoneType, UnionType
from typing import (
    Any,
    Final,
    NewType,
    TypeAlias,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

from radishlift.core.codec import dump_plain

SchemaData: TypeAlias = dict[str, Any]
_ABSENT: Final = object()


@dataclass(frozen=True, slots=True)
class Subject:
    """A dataclass of the schema; `section` is `message`, `record` or `row`."""

    section: str
    name: str
    typed: type
    level: int = 1


def describe(subjects: Iterable[Subject]) -> SchemaData:
    """Describes subjects, and the dataclasses and enums in their fields.

    The sections `message`, `record` and `row` of the result contain the
    subjects by name, the section `type` the dataclasses and enums.
    """
    schema: SchemaData = {}
    shared: dict[str, type] = {}
    for subject in subjects:
        entry: SchemaData = {'fields': _describe_fields(subject.typed, shared)}
        if subject.level > 1:
            entry['level'] = subject.level
        schema.setdefault(subject.section, {})[subject.name] = entry
    types: SchemaData = {}
    while shared.keys() - types.keys():
        name = min(shared.keys() - types.keys())
        types[name] = _describe_shared(shared[name], shared)
    schema['type'] = types
    return schema


def _describe_shared(typed: type, shared: dict[str, type]) -> SchemaData:
    if issubclass(typed, Enum):
        return {'values': sorted(str(member.value) for member in typed)}
    return {'fields': _describe_fields(typed, shared)}


def _describe_fields(typed: type, shared: dict[str, type]) -> SchemaData:
    hints = get_type_hints(typed)
    described = {}
    for field in fields(typed):
        entry: SchemaData = {'type': _type_name(hints[field.name], shared)}
        default = _describe_default(field)
        if default is not _ABSENT:
            entry['default'] = default
        described[field.name] = entry
    return described


def _describe_default(field: 'Field[Any]') -> Any:
    if field.default is not MISSING:
        return dump_plain(field.default)
    if field.default_factory is not MISSING:
        return dump_plain(field.default_factory())
    return _ABSENT


def _type_name(hint: Any, shared: dict[str, type]) -> str:
    if isinstance(hint, NewType):
        # Identifiers are written as their base type.
        return _type_name(hint.__supertype__, shared)
    if get_origin(hint) in {Union, UnionType}:
        parts = sorted(_type_name(part, shared) for part in get_args(hint))
        return ' | '.join(parts)
    if get_origin(hint) is not None:
        origin = get_origin(hint).__name__
        parts = [_type_name(part, shared) for part in get_args(hint)]
        return f'{origin}[{", ".join(parts)}]'
    if hint is NoneType:
        return 'None'
    if hint is Ellipsis:
        return '...'
    if isinstance(hint, type) and _is_shared(hint):
        shared[_shared_name(hint)] = hint
        return _shared_name(hint)
    return getattr(hint, '__name__', str(hint))


def _is_shared(hint: type) -> bool:
    return is_dataclass(hint) or issubclass(hint, Enum)


def _shared_name(hint: type) -> str:
    package = hint.__module__.split('.')[1]
    return f'{package}.{hint.__name__}'


__all__ = ('SchemaData', 'Subject', 'describe')
