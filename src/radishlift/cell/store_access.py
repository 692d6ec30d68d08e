"""Access of one daemon to the store, for itself and for its callers."""

from radishlift.cell.entry_rows import RelayedRows, StoreRows
from radishlift.cell.ports import CellStore
from radishlift.cell.settings import CellSettings
from radishlift.cell.store_guard import StoreGuard
from radishlift.cell.store_watch import StoreWatch
from radishlift.cell.suspension import RecentRows, SuspensionMonitor
from radishlift.core.clock import Clock
from radishlift.wire.network import PeerNetwork


class StoreAccess:
    """The guarded store, and the rows of callers in it or through peers.

    The loops of `watch` and `suspension` must run.
    """

    def __init__(
        self,
        store: CellStore,
        network: PeerNetwork,
        settings: CellSettings,
        clock: Clock,
    ) -> None:
        self.watch = StoreWatch(store, settings.outages, clock)
        store.notify_received(self.watch.record_contact)
        self.store = StoreGuard(store, self.watch)
        self.suspension = SuspensionMonitor(settings, clock)
        relayed = RelayedRows(
            # Peers insert through these rows.
            RecentRows(StoreRows(self.store), self.suspension),
            network,
            lambda: self.watch.is_lost,
            clock,
        )
        relayed.is_store_doubted = lambda: self.watch.is_doubted
        self.readmit = relayed.readmit
        self.rows = RecentRows(relayed, self.suspension)


__all__ = ('StoreAccess',)
