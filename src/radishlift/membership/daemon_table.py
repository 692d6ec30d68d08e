"""The `daemons` table as this daemon reads it, with the age of each row."""

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

# After a longer gap between two scans the table was down or this process was
# paused, and daemons may have been unable to renew their rows. A shorter gap
# leaves them two renewals of 2 s before a lease of 10 s ends.
_MAX_SCAN_GAP_MS: Final = 6000


@dataclass(frozen=True, slots=True)
class DaemonScan:
    """One complete reading of the table.

    `number` counts the scans from 1 in the order of their starts; rows that
    can't be parsed are left out and named in `unreadable`.
    """

    number: int
    rows: dict[DaemonId, DaemonRow]
    unreadable: frozenset[DaemonId] = frozenset()


@dataclass(slots=True)
class _Seen:
    version: int
    changed_at_ms: int


class DaemonTable:
    """Reads the table and watches for how long each row does not change.

    The time without change counts only while the table is read regularly: an
    outage or a pause of this process starts it again, since daemons could
    not renew, or were not seen to renew, their rows meanwhile.
    """

    def __init__(self, store: TableStore, clock: Clock) -> None:
        self.last_scan = DaemonScan(0, {})
        self.started_count = 0
        self._store = store
        self._clock = clock
        self._seen: dict[DaemonId, _Seen] = {}
        self._scanned_at_ms = clock.monotonic_ms()
        self._listeners: list[Callable[[DaemonScan], None]] = []

    def subscribe(self, listener: Callable[[DaemonScan], None]) -> None:
        """Adds a listener that gets each complete scan."""
        self._listeners.append(listener)

    async def scan(
        self, watched: Iterable[DaemonId] = ()
    ) -> DaemonScan | Failure:
        """Reads the table and tells the listeners.

        Daemons in `watched` are watched even if they have no row. Fails with
        a kind of the store.
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
        """Returns for how long a row was seen without change."""
        seen = self._seen.get(daemon_id)
        if seen is None:
            return 0
        return self._scanned_at_ms - seen.changed_at_ms

    def unchanged_for(self, limit_ms: int) -> dict[DaemonId, int]:
        """Returns the versions of rows that have not changed for a time."""
        return {
            daemon_id: seen.version
            for daemon_id, seen in self._seen.items()
            if seen.version and self.unchanged_ms(daemon_id) >= limit_ms
        }

    def watched(self) -> tuple[DaemonId, ...]:
        """Lists the daemons that are watched, with or without a row."""
        return tuple(self._seen)

    def restart_watch(self) -> None:
        """Starts the times without change again, from now."""
        now_ms = self._clock.monotonic_ms()
        for seen in self._seen.values():
            seen.changed_at_ms = now_ms

    def _watch(self, versions: dict[DaemonId, int]) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._scanned_at_ms > _MAX_SCAN_GAP_MS:
            self.restart_watch()
        self._scanned_at_ms = now_ms
        for daemon_id, version in versions.items():
            seen = self._seen.get(daemon_id)
            if seen is None or seen.version != version:
                self._seen[daemon_id] = _Seen(version, now_ms)
        for daemon_id in self._seen.keys() - versions.keys():
            self._seen.pop(daemon_id)


__all__ = ('DaemonScan', 'DaemonTable')
