"""Format level that this daemon uses, from the rows of live daemons."""

from radishlift.core.clock import Clock
from radishlift.core.kinds import required_level
from radishlift.core.levels import LOWEST_LEVEL, common_level
from radishlift.core.logs import log_event
from radishlift.membership.api import DaemonFormat
from radishlift.membership.daemon_table import DaemonScan
from radishlift.ownership.fleet_view import FleetView
from radishlift.ownership.settings import OwnershipSettings


class CellLevel:
    """Tracks the format level that all live daemons can read.

    The level rises only when all live daemons have announced a higher one for
    `level_wait_ms`, because daemons that start or restart have no row for a
    while. It never falls: records written at a level stay in the journals, so
    lowering the level would not make them readable for older daemons.
    """

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        settings: OwnershipSettings,
    ) -> None:
        self.level = LOWEST_LEVEL
        self._view = view
        self._clock = clock
        self._settings = settings
        self._scanned_at_ms = clock.monotonic_ms()
        self._lowest = LOWEST_LEVEL
        self._unchanged_since_ms = self._scanned_at_ms
        view.table.subscribe(self.observe_scan)

    def observe_scan(self, _scan: DaemonScan) -> None:
        """Raises the level once all live daemons have kept a higher one."""
        now_ms = self._clock.monotonic_ms()
        gap_ms = now_ms - self._scanned_at_ms
        lowest = common_level(self._view.live_format_levels())
        # During a pause or an outage, changes of other daemons go unnoticed.
        if lowest != self._lowest or gap_ms > self._settings.lease_ms:
            self._unchanged_since_ms = now_ms
        self._lowest = lowest
        self._scanned_at_ms = now_ms
        held_ms = now_ms - self._unchanged_since_ms
        is_kept = held_ms >= self._settings.level_wait_ms
        if is_kept and lowest > self.level:
            self.level = lowest
            log_event('cell_level_raised', level=lowest)

    def formats(self) -> tuple[DaemonFormat, ...]:
        """Returns the level and the declined partitions of each daemon."""
        scan = self._view.table.last_scan
        declined = self._view.declined()
        levels = {
            daemon_id: row.format_level for daemon_id, row in scan.rows.items()
        }
        levels.update(dict.fromkeys(scan.unreadable, LOWEST_LEVEL))
        own_row = self._view.own_row
        levels[own_row.daemon_id] = own_row.format_level
        return tuple(
            DaemonFormat(daemon_id, level, declined.get(daemon_id, ()))
            for daemon_id, level in sorted(levels.items())
        )

    def allows(self, kind: type) -> bool:
        """Returns whether a type of message or record may be used.

        Callers check this each time before they write the type.
        """
        return required_level(kind) <= self.level


__all__ = ('CellLevel',)
