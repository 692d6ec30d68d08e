"""Checks whether daemons with two schemas can share a cell."""

from collections.abc import Iterator
from typing import Any, Final

from radishlift.core.levels import LOWEST_LEVEL
from radishlift.schema.describe import SchemaData

_SECTIONS_WITH_LEVELS: Final = frozenset(('message', 'record'))


def find_incompatibilities(
    known: SchemaData,
    present: SchemaData,
    format_level: int,
) -> list[str]:
    """Returns the incompatible changes from the known to the present schema.

    A new kind of message or record needs a level above 1, which daemons with
    the known schema don't announce, and at most `format_level`. A new entry
    of another section, and a new field with a default, are allowed.
    """
    errors: list[str] = []
    for section in sorted(known.keys() | present.keys()):
        before = known.get(section, {})
        after = present.get(section, {})
        errors.extend(_compare_section(section, before, after))
        if section in _SECTIONS_WITH_LEVELS:
            for name in sorted(after.keys() - before.keys()):
                where = f'{section} {name}'
                errors.extend(_check_new_kind(where, after[name], format_level))
    return errors


def _compare_section(
    section: str,
    before: SchemaData,
    after: SchemaData,
) -> Iterator[str]:
    for name in sorted(before):
        if name in after:
            where = f'{section} {name}'
            yield from _compare_entries(where, before[name], after[name])
        elif section != 'type':
            # A type is removed when no field uses it any more; the removed
            # fields are reported for the entries that had them.
            yield f'{section} {name}: was removed'


def _compare_entries(
    where: str,
    before: SchemaData,
    after: SchemaData,
) -> Iterator[str]:
    if before.get('level') != after.get('level'):
        yield (
            f'{where}: level changed from {before.get("level", LOWEST_LEVEL)}'
            f' to {after.get("level", LOWEST_LEVEL)}'
        )
    if before.get('values') != after.get('values'):
        yield from _compare_values(where, before, after)
    yield from _compare_fields(
        where,
        before.get('fields', {}),
        after.get('fields', {}),
    )


def _compare_values(
    where: str,
    before: SchemaData,
    after: SchemaData,
) -> Iterator[str]:
    known = set(before.get('values', ()))
    present = set(after.get('values', ()))
    for removed in sorted(known - present):
        yield f'{where}: value {removed!r} was removed'
    for added in sorted(present - known):
        yield (
            f'{where}: new value {added!r}, which older daemons refuse; use a'
            ' new field with a default, or a new kind with a level'
        )


def _compare_fields(
    where: str,
    before: SchemaData,
    after: SchemaData,
) -> Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        field = f'{where}: field {name}'
        if name not in after:
            yield f'{field} was removed; older daemons may need it'
        elif name not in before:
            if 'default' not in after[name]:
                yield f'{field} is new and has no default'
        elif before[name]['type'] != after[name]['type']:
            types = f'{before[name]["type"]} to {after[name]["type"]}'
            yield f'{field} changed its type from {types}'
        else:
            yield from _compare_defaults(field, before[name], after[name])


def _compare_defaults(
    field: str,
    before: SchemaData,
    after: SchemaData,
) -> Iterator[str]:
    if 'default' not in before:
        # Daemons with the known schema always write the field.
        return
    if 'default' not in after:
        yield f'{field} lost its default; older daemons may leave it out'
    elif before['default'] != after['default']:
        values = f'{before["default"]!r} to {after["default"]!r}'
        yield f'{field} changed its default from {values}'


def _check_new_kind(
    where: str,
    entry: dict[str, Any],
    format_level: int,
) -> Iterator[str]:
    level = entry.get('level', LOWEST_LEVEL)
    if level <= LOWEST_LEVEL:
        yield f'{where}: is new and needs a level above {LOWEST_LEVEL}'
    elif level > format_level:
        yield f'{where}: level {level} is above FORMAT_LEVEL {format_level}'


__all__ = ('find_incompatibilities',)
