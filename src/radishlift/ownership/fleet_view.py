"""Evaluates rows, evidence and leases to assign partitions to daemons."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import DaemonId, PartitionId
from radishlift.core.levels import LOWEST_LEVEL
from radishlift.membership.api import MemberDirectory
from radishlift.membership.daemon_rows import DaemonRow, DaemonState
from radishlift.membership.daemon_table import DaemonTable
from radishlift.ownership.directory import OwnerDirectory
from radishlift.ownership.own_row import OwnRow
from radishlift.ownership.owner_rows import StoredOwner
from radishlift.ownership.rendezvous import (
    assign_partitions,
    eligible_daemons,
    highest_weight,
)
from radishlift.ownership.settings import OwnershipSettings

# A daemon that can't renew its own row can't distinguish a dead owner from a
# table service that accepts no writes.
_MAX_RENEWALS_MISSED: Final = 3


@dataclass(frozen=True, slots=True)
class Assignment:
    """Assignment of partitions to daemons, in the view of one daemon.

    `balanced` gives each daemon at most an equal share of the partitions.
    `claimants` also has the partitions that exceed these shares.
    """

    balanced: dict[PartitionId, DaemonId]
    claimants: dict[PartitionId, DaemonId]


@dataclass(frozen=True, slots=True)
class FleetState:
    """Daemons, expired leases and partitions, to detect changes."""

    daemons: tuple[object, ...]
    expired_leases: tuple[DaemonId, ...]
    partitions: tuple[PartitionId, ...]
    can_claim: bool


class FleetView:
    """View of the daemons and owners from the tables and the evidence."""

    def __init__(
        self,
        own_row: OwnRow,
        table: DaemonTable,
        members: MemberDirectory,
        directory: OwnerDirectory,
        settings: OwnershipSettings,
    ) -> None:
        self.own_row = own_row
        self.table = table
        self._members = members
        self.directory = directory
        self._settings = settings

    def can_renew(self) -> bool:
        """Returns whether this daemon has renewed its row recently."""
        age_ms = self.own_row.age_ms
        limit_ms = _MAX_RENEWALS_MISSED * self._settings.renew_interval_ms
        return age_ms is not None and age_ms <= limit_ms

    def can_claim(self) -> bool:
        """Returns whether this daemon may claim partitions."""
        own_row = self.own_row
        is_started = own_row.serving_ms >= self._settings.start_wait_ms
        is_serving = own_row.state is DaemonState.serving
        is_current = is_serving and not own_row.is_replaced
        return self.can_renew() and is_started and is_current

    def is_own(self, stored: StoredOwner) -> bool:
        """Returns whether this process is the owner in the row."""
        own_run = (self.own_row.daemon_id, self.own_row.incarnation)
        return (stored.row.daemon_id, stored.row.incarnation) == own_run

    def is_claimable(self, stored: StoredOwner) -> bool:
        """Returns whether a partition has no owner that may be alive."""
        owner = stored.row
        if owner.is_free:
            return True
        if self.is_own(stored):
            return False
        if self._members.is_dead(owner.daemon_id, owner.incarnation):
            return True
        return self._has_expired_lease(owner.daemon_id)

    def state(self) -> FleetState:
        """Returns the inputs of claims and releases except the owner rows."""
        daemons = tuple(
            (
                daemon_id,
                row.incarnation,
                row.state,
                row.owner_changes,
                row.declined,
                self._members.is_dead(daemon_id, row.incarnation),
            )
            for daemon_id, row in self.table.last_scan.rows.items()
        )
        expired = filter(self._has_expired_lease, self.table.watched())
        return FleetState(
            daemons,
            tuple(expired),
            self.directory.partitions(),
            self.can_claim(),
        )

    def declined(self) -> dict[DaemonId, tuple[PartitionId, ...]]:
        """Returns the partitions that each daemon can't read."""
        declined = {
            daemon_id: row.declined
            for daemon_id, row in self.table.last_scan.rows.items()
            if row.declined
        }
        # The row of this daemon may not have been written or read yet.
        declined[self.own_row.daemon_id] = self.own_row.declined
        return declined

    def live_format_levels(self) -> Iterator[int]:
        """Yields the format levels of the daemons that may be alive.

        A daemon whose row can't be parsed counts with the lowest level.
        """
        yield self.own_row.format_level
        for daemon_id, row in self.table.last_scan.rows.items():
            if self._may_live(daemon_id, row):
                yield row.format_level
        for daemon_id in self.table.last_scan.unreadable:
            if not self._has_expired_lease(daemon_id):
                yield LOWEST_LEVEL

    def dead_rows(self, unchanged_ms: int) -> dict[DaemonId, int]:
        """Returns the row versions of dead daemons, unchanged for a time."""
        rows = self.table.last_scan.rows
        unchanged = self.table.unchanged_for(unchanged_ms)
        return {
            daemon_id: version
            for daemon_id, version in unchanged.items()
            if daemon_id in rows
            and self._members.is_dead(daemon_id, rows[daemon_id].incarnation)
        }

    def assign(self) -> Assignment:
        """Assigns the partitions to the serving daemons."""
        partitions = self.directory.partitions()
        holders = {}
        for partition_id in partitions:
            stored = self.directory.stored_owner(partition_id)
            if not self.is_claimable(stored):
                holders[partition_id] = stored.row.daemon_id
        serving = self._serving()
        candidates = [
            daemon_id
            for daemon_id in serving
            if daemon_id == self.own_row.daemon_id
            or not self._members.is_suspected(daemon_id)
        ]
        declined = self.declined()
        balanced = assign_partitions(
            partitions, holders, serving, candidates, declined
        )
        overflow = {}
        for partition_id in partitions:
            eligible = eligible_daemons(partition_id, candidates, declined)
            claimant = highest_weight(partition_id, eligible)
            if claimant is not None:
                overflow[partition_id] = claimant
        return Assignment(balanced, overflow | balanced)

    def _serving(self) -> list[DaemonId]:
        rows = self.table.last_scan.rows
        serving = [
            daemon_id
            for daemon_id, row in rows.items()
            if row.state is DaemonState.serving
            and daemon_id != self.own_row.daemon_id
            and self._may_live(daemon_id, row)
        ]
        if self.own_row.state is DaemonState.serving:
            serving.append(self.own_row.daemon_id)
        return sorted(serving)

    def _may_live(self, daemon_id: DaemonId, row: DaemonRow) -> bool:
        if self._has_expired_lease(daemon_id):
            return False
        return not self._members.is_dead(daemon_id, row.incarnation)

    def _has_expired_lease(self, daemon_id: DaemonId) -> bool:
        if daemon_id == self.own_row.daemon_id:
            return False
        unchanged_ms = self.table.unchanged_ms(daemon_id)
        return unchanged_ms >= self._settings.lease_ms


__all__ = ('Assignment', 'FleetState', 'FleetView')
