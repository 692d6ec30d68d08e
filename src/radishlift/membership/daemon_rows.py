"""Rows of the `daemons` table; each daemon writes its own."""

from dataclasses import dataclass, fields
from enum import Enum, unique
from typing import Any, Final

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import (
    Address,
    DaemonId,
    DataCentreId,
    Incarnation,
    PartitionId,
)
from radishlift.core.levels import LOWEST_LEVEL
from radishlift.membership.api import Member
from radishlift.services.api import Row, TableStore

DAEMONS_TABLE: Final = 'daemons'

_SCAN_LIMIT: Final = 500
_LATER_FIELDS: Final = ('region', 'format_level', 'declined')


@unique
class DaemonState(Enum):
    """Whether a daemon accepts partitions."""

    serving = 'serving'
    draining = 'draining'


@dataclass(frozen=True, slots=True)
class DaemonRow:
    """The row of a daemon; each renewal increments the counter.

    `owner_changes` counts the owner rows that this daemon may have written,
    so that others read the owner rows only after a change. `declined` are
    the partitions that it can't read; others claim them.
    """

    incarnation: Incarnation
    listen: Address
    peer_listen: Address
    data_centre: DataCentreId
    counter: int
    state: DaemonState
    owner_changes: int = 0
    region: str = ''
    format_level: int = LOWEST_LEVEL
    declined: tuple[PartitionId, ...] = ()


_DEFAULTS: Final = {each.name: each.default for each in fields(DaemonRow)}


def parse_daemon_row(row: Row) -> DaemonRow | Failure:
    """Parses a stored row."""
    parsed = read_plain(row.value, DaemonRow)
    if isinstance(parsed, Failure):
        reason = f'daemon row {row.key}: {parsed.reason}'
        return Failure(ErrorKind.internal, reason)
    return parsed


def dump_daemon_row(row: DaemonRow) -> Any:
    """Converts a row for the table service.

    Fields that were added later are left out while they have their defaults:
    versions that precede format levels reject unknown fields.
    """
    plain = dump_plain(row)
    for name in _LATER_FIELDS:
        if getattr(row, name) == _DEFAULTS[name]:
            del plain[name]
    return plain


def member_of(daemon_id: DaemonId, row: DaemonRow) -> Member:
    """Returns the member that a row describes."""
    return Member(
        daemon_id,
        row.incarnation,
        row.listen,
        row.peer_listen,
        row.data_centre,
        row.region,
        row.format_level,
    )


async def scan_all(store: TableStore, table: str) -> list[Row] | Failure:
    """Reads all rows of a table, in pages."""
    rows: list[Row] = []
    after = ''
    while True:
        page = await store.scan(table, '', after, _SCAN_LIMIT)
        if isinstance(page, Failure):
            return page
        rows.extend(page)
        if len(page) < _SCAN_LIMIT:
            return rows
        after = page[-1].key


__all__ = (
    'DAEMONS_TABLE',
    'DaemonRow',
    'DaemonState',
    'dump_daemon_row',
    'member_of',
    'parse_daemon_row',
    'scan_all',
)
