"""Where the tables of the product lie in the platform's store.

A transaction covers one part, so that what a leader commits together shares
a part; the jobs and cancels that entry daemons add have another one.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from radishlift.cell import tables


@dataclass(frozen=True, slots=True)
class Place:
    """A table and part of the platform, and what its keys begin with."""

    table: str
    part: str
    prefix: str = ''


_PLACES: Final = MappingProxyType(
    {
        tables.CELL: Place('cell', 'leader'),
        tables.COMMITS: Place('commits', 'leader'),
        tables.PROGRESS: Place('progress', 'leader'),
        tables.JOBS: Place('jobs', 'entry'),
        tables.CANCELS: Place('cancels', 'entry'),
        # Written by the operator: the configuration and upkeep waves.
        tables.CONFIG: Place('op', ''),
        # Written by the targets themselves.
        tables.TARGETS: Place('servers', ''),
    },
)
_TABLES: Final = MappingProxyType(
    {place.table: name for name, place in _PLACES.items()},
)


def place_of(table: str) -> Place:
    """Returns the place of a table of the product."""
    return _PLACES[table]


def table_at(fields: Mapping[str, Any]) -> str | None:
    """Returns the product's table of a row; None for a foreign one."""
    return _TABLES.get(fields.get('table', ''))


__all__ = ('Place', 'place_of', 'table_at')
