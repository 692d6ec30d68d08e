"""Reads the tables that claims depend on, the owner rows only on changes."""

from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.ownership.fleet_view import FleetState, FleetView
from radishlift.ownership.owner_rows import scan_owners
from radishlift.ownership.settings import OwnershipSettings
from radishlift.services.api import TableStore


class TableReader:
    """Keeps the view of the fleet fresh at a bounded traffic.

    Reading 70 owner rows takes about 9 KB, so reading them every second would
    break the bound of 7 KB/s for control. A daemon that writes owner rows
    raises a counter in its own row, and the others read the owner rows then.
    """

    def __init__(
        self,
        store: TableStore,
        clock: Clock,
        view: FleetView,
        settings: OwnershipSettings,
    ) -> None:
        self._store = store
        self._clock = clock
        self._view = view
        self._settings = settings
        self._known_state: FleetState | None = None
        self._owners_read_at_ms = 0

    @property
    def interval_ms(self) -> int:
        """Returns the time between two readings of the `daemons` table."""
        rows_count = len(self._view.table.last_scan.rows)
        paced_ms = rows_count * self._settings.scan_per_daemon_ms
        return max(self._settings.scan_interval_ms, paced_ms)

    async def read(self, *, is_forced: bool) -> bool | Failure:
        """Reads the `daemons` table and, if due, the owner rows.

        Returns whether the owner rows were read. Fails with a kind of the
        store; then they are due at the next call.
        """
        failure = await self._read_daemons()
        if failure is not None:
            return failure
        state = self._view.state()
        if not is_forced and state == self._known_state and self._is_fresh():
            return False
        self._known_state = None
        owners = await scan_owners(self._store)
        if isinstance(owners, Failure):
            return owners
        self._view.directory.replace(owners)
        # Asked before the `daemons` table is read again: only a reading that
        # starts after an owner row was seen can tell that its writer is
        # superseded.
        for seen in owners.values():
            self._view.is_claimable(seen)
        failure = await self._read_daemons()
        if failure is not None:
            return failure
        self._known_state = state
        self._owners_read_at_ms = self._clock.monotonic_ms()
        return True

    async def _read_daemons(self) -> Failure | None:
        scan = await self._view.table.scan(self._view.directory.holders())
        if not self._view.can_renew():
            self._view.table.restart_watch()
        return scan if isinstance(scan, Failure) else None

    def _is_fresh(self) -> bool:
        age_ms = self._clock.monotonic_ms() - self._owners_read_at_ms
        return age_ms < self._settings.owners_interval_ms


__all__ = ('TableReader',)
