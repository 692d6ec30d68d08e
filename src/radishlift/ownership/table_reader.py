"""Reads the tables that claims depend on, owner rows only after changes."""

from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.ownership.fleet_view import FleetState, FleetView
from radishlift.ownership.owner_rows import scan_owners
from radishlift.ownership.settings import OwnershipSettings
from radishlift.services.api import TableStore


class TableReader:
    """Keeps the view of the fleet current with bounded traffic.

    70 owner rows have about 9 KB, so reading them every second would exceed
    the limit of 7 KB/s for control traffic. A daemon that writes owner rows
    increments a counter in its own row, and then the others read them.
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
        """Returns the interval between two scans of the `daemons` table."""
        rows_count = len(self._view.table.last_scan.rows)
        paced_ms = rows_count * self._settings.scan_per_daemon_ms
        return max(self._settings.scan_interval_ms, paced_ms)

    async def read(self, *, is_forced: bool) -> bool | Failure:
        """Reads the `daemons` table and, if due, the owner rows.

        Returns whether the owner rows were read. Fails with an error kind of
        the store; the owner rows are then due at the next call.
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
        # Records each owner's incarnation before the `daemons` table is read
        # again: only a scan that starts after the owner row was read can show
        # that its writer was superseded.
        for stored in owners.values():
            self._view.is_claimable(stored)
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
