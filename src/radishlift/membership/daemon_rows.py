"""Rows of the `daemons` table, one for each daemon and written by it."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Any, Final

from radishlift.core.codec import dump_plain, parse_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DaemonId, DataCentreId, Incarnation
from radishlift.membership.api import Member
from radishlift.platform.api import Row, TableStore

DAEMONS_TABLE: Final = 'daemons'

_SCAN_LIMIT: Final = 500


@unique
class DaemonState(Enum):
    """Whether a daemon takes partitions."""

    serving = 'serving'
    draining = 'draining'


@dataclass(frozen=True, slots=True)
class DaemonRow:
    """A daemon as it describes itself; each renewal raises the counter.

    `owner_changes` counts the owner rows that this daemon may have written,
    so that others read the owner rows only after a change.
    """

    incarnation: Incarnation
    listen: Address
    peer_listen: Address
    data_centre: DataCentreId
    counter: int
    state: DaemonState
    owner_changes: int = 0
    region: str = ''


def parse_daemon_row(row: Row) -> DaemonRow | Failure:
    """Reads a stored row."""
    parsed = parse_plain(row.value, DaemonRow)
    if isinstance(parsed, Failure):
        reason = f'daemon row {row.key}: {parsed.reason}'
        return Failure(ErrorKind.internal, reason)
    return parsed


def dump_daemon_row(row: DaemonRow) -> Any:
    """Converts a row for the table service.

    Without a region the row is as before there were regions, so that daemons
    of both versions read it.
    """
    plain = dump_plain(row)
    if not row.region:
        del plain['region']
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
    )


async def scan_all(store: TableStore, table: str) -> list[Row] | Failure:
    """Reads all rows of a small table, in pages."""
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
