"""Locations of the product's tables in the platform's store.

A transaction covers one part, so rows that a leader commits together are in
the same part. A part handles its transactions one after another, so the jobs
and cancels that entry daemons add are distributed over many parts.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from radishlift.cell import tables


@dataclass(frozen=True, slots=True)
class TableLocation:
    """A table of the platform and the parts that contain its rows."""

    table: str
    parts: tuple[str, ...]

    def part(self, key: str) -> str:
        """Returns the part that contains the row of a key."""
        if len(self.parts) == 1:
            return self.parts[0]
        return self.parts[tables.entry_shard(key)]


_LEADER_PARTS: Final = ('leader',)
_ENTRY_PARTS: Final = tuple(
    f'entry-{shard}' for shard in range(tables.ENTRY_SHARDS_COUNT)
)
# The operator and the targets leave the part empty.
_UNNAMED_PARTS: Final = ('',)
_LOCATIONS: Final = MappingProxyType(
    {
        tables.CELL: TableLocation('cell', _LEADER_PARTS),
        tables.COMMITS: TableLocation('commits', _LEADER_PARTS),
        tables.PROGRESS: TableLocation('progress', _LEADER_PARTS),
        tables.JOBS: TableLocation('jobs', _ENTRY_PARTS),
        tables.CANCELS: TableLocation('cancels', _ENTRY_PARTS),
        # Written by the operator: the configuration and maintenance waves.
        tables.CONFIG: TableLocation('op', _UNNAMED_PARTS),
        # Written by the targets themselves.
        tables.TARGETS: TableLocation('servers', _UNNAMED_PARTS),
    },
)
_TABLE_NAMES: Final = MappingProxyType(
    {location.table: name for name, location in _LOCATIONS.items()},
)


def find_location(table: str) -> TableLocation:
    """Returns the location of one of the product's tables."""
    return _LOCATIONS[table]


def find_table(fields: Mapping[str, Any]) -> str | None:
    """Returns the product's table of a row; None for any other table."""
    return _TABLE_NAMES.get(fields.get('table', ''))


__all__ = ('TableLocation', 'find_location', 'find_table')
