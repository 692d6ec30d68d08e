"""Where the tables of the product lie in the platform's store.

A transaction covers one part, so that what a leader commits together shares
a part. A part handles its transactions one after another, so that the jobs
and cancels that entry daemons add are spread over many parts.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from radishlift.cell import tables
from radishlift.core.ids import JobId


@dataclass(frozen=True, slots=True)
class Place:
    """A table of the platform and the parts that hold its rows."""

    table: str
    parts: tuple[str, ...]

    def part(self, key: str) -> str:
        """Returns the part of a row."""
        if len(self.parts) == 1:
            return self.parts[0]
        return self.parts[tables.entry_shard(JobId(key))]


_LEADER: Final = ('leader',)
_ENTRY: Final = tuple(
    f'entry-{share}' for share in range(tables.ENTRY_SHARDS_COUNT)
)
# The operator and the targets leave the part empty.
_UNNAMED: Final = ('',)
_PLACES: Final = MappingProxyType(
    {
        tables.CELL: Place('cell', _LEADER),
        tables.COMMITS: Place('commits', _LEADER),
        tables.PROGRESS: Place('progress', _LEADER),
        tables.JOBS: Place('jobs', _ENTRY),
        tables.CANCELS: Place('cancels', _ENTRY),
        # Written by the operator: the configuration and upkeep waves.
        tables.CONFIG: Place('op', _UNNAMED),
        # Written by the targets themselves.
        tables.TARGETS: Place('servers', _UNNAMED),
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
