"""Claims, holds and releases the partitions of this daemon."""

import asyncio

from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import PartitionId
from radishlift.ownership.api import OwnershipListener
from radishlift.ownership.claims import Claimant
from radishlift.ownership.expired_rows import delete_expired_row
from radishlift.ownership.fleet_view import Assignment, FleetView
from radishlift.ownership.holdings import Holdings, OwnershipState
from radishlift.ownership.settings import OwnershipSettings
from radishlift.ownership.table_reader import TableReader
from radishlift.services.api import TableStore


class OwnershipManager:
    """Maintains the owner rows and the row of this daemon.

    `renew` and `step` run in separate loops, since a release in a step may
    take longer than a lease. Conditional writes alone prevent two daemons from
    owning a partition; evidence and leases only decide when to try a claim.
    """

    def __init__(
        self,
        store: TableStore,
        clock: Clock,
        view: FleetView,
        settings: OwnershipSettings,
        listener: OwnershipListener,
    ) -> None:
        self._store = store
        self._clock = clock
        self._view = view
        self._settings = settings
        self._listener = listener
        self._holdings = Holdings(listener)
        self._claimant = Claimant(store, view, self._holdings, settings)
        self._reader = TableReader(store, clock, view, settings)
        self._has_pending_changes = True
        self._lock = asyncio.Lock()
        self._notified = asyncio.Event()
        self._last_release: tuple[PartitionId, int] | None = None

    @property
    def owned(self) -> tuple[PartitionId, ...]:
        """Returns the partitions that this daemon owns."""
        return self._holdings.in_state(OwnershipState.owned)

    @property
    def is_replaced(self) -> bool:
        """Returns whether a newer incarnation of this daemon runs."""
        return self._view.own_row.is_replaced

    @property
    def scan_interval_ms(self) -> int:
        """Returns the interval between two steps."""
        return self._reader.interval_ms

    def notify(self) -> None:
        """Requests an immediate step, for example on evidence of a death."""
        self._notified.set()

    async def wait_notified(self, timeout_ms: int) -> None:
        """Waits until a step is requested, at most for the timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._notified.wait()
        except TimeoutError:
            return
        self._notified.clear()

    async def renew(self) -> Failure | None:
        """Renews the row of this daemon.

        Fails with `not_owner` when a newer incarnation runs; then all
        partitions are dropped and the listener is notified. Failures with an
        error kind of the store change nothing.
        """
        was_replaced = self.is_replaced
        failure = await self._view.own_row.renew()
        if self.is_replaced and not was_replaced:
            async with self._lock:
                for partition_id in self._holdings.held_claims():
                    await self._holdings.lose(partition_id)
            await self._listener.on_replaced()
        return failure

    async def step(self) -> Failure | None:
        """Reads the tables, then claims and releases partitions.

        Fails with an error kind of the store; this daemon then keeps its
        partitions.
        """
        async with self._lock:
            failure = await self._step()
        if (
            self._view.own_row.has_unpublished_changes
            and self._view.can_renew()
        ):
            await self.renew()
        return failure

    async def drop(self, partition_id: PartitionId) -> None:
        """Drops a partition whose journal was closed."""
        async with self._lock:
            if partition_id in self._holdings.held_claims():
                await self._holdings.lose(partition_id)
            self._has_pending_changes = True

    async def decline(self, partition_id: PartitionId) -> None:
        """Releases a partition that this version can't read.

        This process does not claim it again, and the row of this daemon lets
        other daemons claim it. The next steps retry a release that failed in
        the store.
        """
        async with self._lock:
            self._view.own_row.decline(partition_id)
            if partition_id in self._holdings.held_claims():
                await self._claimant.release(partition_id)
            self._has_pending_changes = True
        self.notify()

    async def stop(self) -> Failure | None:
        """Releases all partitions and deletes the daemon's row.

        For a planned stop. Fails with an error kind of the store if a
        partition could not be released; a repeated call continues with the
        remaining partitions.
        """
        if self._view.own_row.is_deleted:
            return None
        self._view.own_row.drain()
        failure = await self.renew()
        if failure is not None:
            return failure
        async with self._lock:
            for partition_id in self._holdings.held_claims():
                failure = await self._claimant.release(partition_id)
                if failure is not None:
                    return failure
                # Lets others claim it while the next partition stops.
                await self._view.own_row.renew()
        return await self._view.own_row.delete()

    async def _step(self) -> Failure | None:
        is_read = await self._reader.read(is_forced=self._has_pending_changes)
        if isinstance(is_read, Failure) or not is_read:
            return is_read or None
        # Each step reads the owner rows until nothing is left to do.
        self._has_pending_changes = True
        await self._claimant.sync_holdings()
        if not self._view.can_claim():
            return None
        assignment = self._view.assign()
        failure = await self._claim_due(assignment)
        if failure is None:
            failure = await self._release_surplus(assignment)
        if failure is None:
            self._has_pending_changes = self._claimant.has_pending_changes(
                assignment
            )
            await delete_expired_row(self._store, self._view)
        return failure

    async def _claim_due(self, assignment: Assignment) -> Failure | None:
        own_id = self._view.own_row.daemon_id
        directory = self._view.directory
        due = [
            partition_id
            for partition_id, claimant in assignment.claimants.items()
            if claimant == own_id
            or self._view.is_own(directory.stored_owner(partition_id))
        ]
        due = [
            partition_id
            for partition_id in due
            if self._claimant.is_due(partition_id)
        ]
        for partition_id in due[: self._settings.claims_count]:
            failure = await self._claimant.claim(partition_id)
            if failure is not None:
                return failure
        return None

    async def _release_surplus(self, assignment: Assignment) -> Failure | None:
        if self._awaits_claim_of_released():
            return None
        for partition_id in self.owned:
            target = assignment.balanced.get(partition_id)
            if target not in {None, self._view.own_row.daemon_id}:
                now_ms = self._clock.monotonic_ms()
                self._last_release = (partition_id, now_ms)
                return await self._claimant.release(partition_id)
        return None

    def _awaits_claim_of_released(self) -> bool:
        if self._last_release is None:
            return False
        partition_id, released_at_ms = self._last_release
        waited_ms = self._clock.monotonic_ms() - released_at_ms
        is_free = self._view.directory.stored_owner(partition_id).row.is_free
        return is_free and waited_ms < self._settings.release_wait_ms


__all__ = ('OwnershipManager',)
