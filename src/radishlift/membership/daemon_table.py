"""Scans of the `daemons` table, with the age of each row."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId
from radishlift.core.logs import log_event
from radishlift.membership.daemon_rows import (
    DAEMONS_TABLE,
    DaemonRow,
    parse_daemon_row,
    scan_all,
)
from radishlift.services.api import TableStore

# A longer gap between two scans means that the table was unavailable or this
# process was paused, so that other daemons may have been unable to renew their
# rows. A shorter gap leaves them two renewals of 2 s before a lease of 10 s
# ends.
_MAX_SCAN_GAP_MS: Final = 6000


@dataclass(frozen=True, slots=True)
class DaemonScan:
    """A complete scan of the table.

    `number` counts the scans from 1 in the order of their starts. Rows that
    can't be parsed are left out of `rows` and listed in `unreadable`.
    """

    number: int
    rows: dict[DaemonId, DaemonRow]
    unreadable: frozenset[DaemonId] = frozenset()


@dataclass(slots=True)
class _WatchedRow:
    version: int
    changed_at_ms: int


class DaemonTable:
    """Scans the table and measures for how long each row is unchanged.

    This time counts only while the table is scanned regularly. An outage or a
    pause of this process restarts it, since daemons may have been unable to
    renew their rows, or their renewals were not observed.
    """

    def __init__(self, store: TableStore, clock: Clock) -> None:
        self.last_scan = DaemonScan(0, {})
        self.started_count = 0
        self._store = store
        self._clock = clock
        self._watched_rows: dict[DaemonId, _WatchedRow] = {}
        self._scanned_at_ms = clock.monotonic_ms()
        self._listeners: list[Callable[[DaemonScan], None]] = []

    def subscribe(self, listener: Callable[[DaemonScan], None]) -> None:
        """Adds a listener that is called with each complete scan."""
        self._listeners.append(listener)

    async def scan(
        self, watched: Iterable[DaemonId] = ()
    ) -> DaemonScan | Failure:
        """Scans the table and notifies the listeners.

        Daemons in `watched` are watched even if they have no row. Fails with
        an error kind of the store.
        """
        self.started_count += 1
        number = self.started_count
        rows = await scan_all(self._store, DAEMONS_TABLE)
        if isinstance(rows, Failure):
            return rows
        versions = dict.fromkeys(watched, 0)
        versions.update((DaemonId(row.key), row.version) for row in rows)
        parsed: dict[DaemonId, DaemonRow] = {}
        for row in rows:
            daemon_row = parse_daemon_row(row)
            if isinstance(daemon_row, Failure):
                log_event('bad_daemon_row', reason=daemon_row.reason)
            else:
                parsed[DaemonId(row.key)] = daemon_row
        self._watch(versions)
        unreadable = frozenset(DaemonId(row.key) for row in rows)
        unreadable -= parsed.keys()
        self.last_scan = DaemonScan(number, parsed, unreadable)
        for listener in self._listeners:
            listener(self.last_scan)
        return self.last_scan

    def unchanged_ms(self, daemon_id: DaemonId) -> int:
        """Returns for how long a row has been unchanged, 0 if unknown."""
        watched_row = self._watched_rows.get(daemon_id)
        if watched_row is None:
            return 0
        return self._scanned_at_ms - watched_row.changed_at_ms

    def unchanged_for(self, limit_ms: int) -> dict[DaemonId, int]:
        """Returns the versions of rows unchanged for at least a time."""
        return {
            daemon_id: watched_row.version
            for daemon_id, watched_row in self._watched_rows.items()
            if watched_row.version and self.unchanged_ms(daemon_id) >= limit_ms
        }

    def watched(self) -> tuple[DaemonId, ...]:
        """Returns the watched daemons, with or without a row."""
        return tuple(self._watched_rows)

    def restart_watch(self) -> None:
        """Restarts the times without change of all rows."""
        now_ms = self._clock.monotonic_ms()
        for watched_row in self._watched_rows.values():
            watched_row.changed_at_ms = now_ms

    def _watch(self, versions: dict[DaemonId, int]) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._scanned_at_ms > _MAX_SCAN_GAP_MS:
            self.restart_watch()
        self._scanned_at_ms = now_ms
        for daemon_id, version in versions.items():
            watched_row = self._watched_rows.get(daemon_id)
            if watched_row is None or watched_row.version != version:
                self._watched_rows[daemon_id] = _WatchedRow(version, now_ms)
        for daemon_id in self._watched_rows.keys() - versions.keys():
            self._watched_rows.pop(daemon_id)


__all__ = ('DaemonScan', 'DaemonTable')
