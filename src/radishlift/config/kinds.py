"""The kinds of sections, and conversion of entities to key-value pairs."""

import re
from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any, Final

from radishlift.config.document import (
    ConfigDocument,
    Department,
    Objective,
    Partition,
    Service,
    Team,
)
from radishlift.config.text import Sections

NAME_PATTERN: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
NAME_RULE: Final = (
    'a name of 1 to 63 letters, digits, ".", "_" or "-", '
    'starting with a letter or digit'
)
# Partition ids are parts of journal keys and, before a dot, of job ids.
PARTITION_PATTERN: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9_-]{0,62}')
PARTITION_RULE: Final = (
    'a name of 1 to 63 letters, digits, "_" or "-", '
    'starting with a letter or digit'
)


@dataclass(frozen=True, slots=True)
class SectionKind:
    """A kind of section, its entity type and its field of the document."""

    name: str
    entity_type: Any
    document_field: str
    name_pattern: re.Pattern[str] = NAME_PATTERN
    name_rule: str = NAME_RULE


SECTION_KINDS: Final = (
    SectionKind('department', Department, 'departments'),
    SectionKind('team', Team, 'teams'),
    SectionKind('service', Service, 'services'),
    SectionKind(
        'partition',
        Partition,
        'partitions',
        PARTITION_PATTERN,
        PARTITION_RULE,
    ),
    SectionKind('objective', Objective, 'objectives'),
)
_KINDS_BY_NAME: Final = {kind.name: kind for kind in SECTION_KINDS}
_TITLES: Final = ', '.join(f'[{kind.name}:<name>]' for kind in SECTION_KINDS)
TITLE_RULE: Final = f'one of {_TITLES}'


def split_title(title: str) -> tuple[SectionKind, str] | None:
    """Splits a section title into its kind and the entity's name.

    Returns None for an unknown kind or a title without a colon.
    """
    kind_name, separator, name = title.partition(':')
    kind = _KINDS_BY_NAME.get(kind_name)
    return (kind, name) if kind is not None and separator else None


def sections_of(document: ConfigDocument) -> Sections:
    """Converts a document to sections in a stable order.

    Keys with default values are written too, so that the text has the same
    meaning for daemons of releases with other defaults.
    """
    sections: Sections = {}
    for kind in SECTION_KINDS:
        entities = entities_of(document, kind)
        for name in sorted(entities):
            sections[f'{kind.name}:{name}'] = entity_pairs(entities[name])
    return sections


def entities_of(
    document: ConfigDocument,
    kind: SectionKind,
) -> Mapping[str, Any]:
    """Returns the entities of one kind by name."""
    entities: Mapping[str, Any] = getattr(document, kind.document_field)
    return entities


def entity_pairs(entity: Any) -> dict[str, str]:
    """Converts an entity to the key-value pairs of its section."""
    return {
        member.name: _format_value(getattr(entity, member.name))
        for member in fields(entity)
    }


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return ', '.join(value)
    return str(value)


__all__ = (
    'NAME_PATTERN',
    'NAME_RULE',
    'PARTITION_PATTERN',
    'SECTION_KINDS',
    'TITLE_RULE',
    'SectionKind',
    'entities_of',
    'entity_pairs',
    'split_title',
    'sections_of',
)
