"""Claims, keeps and releases the partitions of this daemon."""

import asyncio

from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import PartitionId
from radishlift.ownership.api import OwnershipListener
from radishlift.ownership.claims import Claimant
from radishlift.ownership.cleaning import delete_expired_row
from radishlift.ownership.fleet_view import Assignment, FleetView
from radishlift.ownership.holdings import Holdings, OwnershipState
from radishlift.ownership.reading import TableReader
from radishlift.ownership.settings import OwnershipSettings
from radishlift.services.api import TableStore


class OwnershipManager:
    """Keeps the owner rows of this daemon in order, step by step.

    `renew` and `step` run in loops of their own, since a release in a step
    may take longer than a lease. Only the conditional writes keep two daemons
    from owning a partition; evidence and leases only decide when to try.
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
        self._is_open = True
        self._lock = asyncio.Lock()
        self._woken = asyncio.Event()
        self._last_release: tuple[PartitionId, int] | None = None

    @property
    def owned(self) -> tuple[PartitionId, ...]:
        """Lists the partitions that this daemon owns."""
        return self._holdings.in_state(OwnershipState.owned)

    @property
    def is_replaced(self) -> bool:
        """Tells whether a newer incarnation of this daemon runs."""
        return self._view.own_row.is_replaced

    @property
    def scan_interval_ms(self) -> int:
        """Returns the time between two steps."""
        return self._reader.interval_ms

    def wake(self) -> None:
        """Asks for a step at once, such as on evidence of a death."""
        self._woken.set()

    async def wait_woken(self, timeout_ms: int) -> None:
        """Waits until a step is asked for, or for the time."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._woken.wait()
        except TimeoutError:
            return
        self._woken.clear()

    async def renew(self) -> Failure | None:
        """Renews the row of this daemon.

        On `not_owner` a newer incarnation runs: all partitions are dropped
        and the listener is told. Kinds of the store change nothing.
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
        """Reads the tables and makes the claims and releases that are due.

        Fails with a kind of the store when they can't be read; then this
        daemon keeps what it has.
        """
        async with self._lock:
            failure = await self._step()
        if self._view.own_row.has_news and self._view.can_renew():
            await self.renew()
        return failure

    async def drop(self, partition_id: PartitionId) -> None:
        """Drops a partition whose journal found that it was deposed."""
        async with self._lock:
            if partition_id in self._holdings.held_claims():
                await self._holdings.lose(partition_id)
            self._is_open = True

    async def decline(self, partition_id: PartitionId) -> None:
        """Gives up a partition that this version can't read.

        It is not claimed again by this process; the row of this daemon tells
        the others to claim it. A release that the store refuses is repeated
        by the next steps.
        """
        async with self._lock:
            self._view.own_row.decline(partition_id)
            if partition_id in self._holdings.held_claims():
                await self._claimant.release(partition_id)
            self._is_open = True
        self.wake()

    async def stop(self) -> Failure | None:
        """Releases all partitions and deletes the row, for a planned stop.

        Fails with a kind of the store if something could not be released; a
        repeated call goes on from there.
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
                # Tells others to claim it while the next one stops.
                await self._view.own_row.renew()
        return await self._view.own_row.delete()

    async def _step(self) -> Failure | None:
        is_read = await self._reader.read(is_forced=self._is_open)
        if isinstance(is_read, Failure) or not is_read:
            return is_read or None
        # Until all that is due is done, each step reads the owner rows.
        self._is_open = True
        await self._claimant.settle()
        if not self._view.can_claim():
            return None
        assignment = self._view.assign()
        failure = await self._claim_due(assignment)
        if failure is None:
            failure = await self._release_surplus(assignment)
        if failure is None:
            self._is_open = self._claimant.has_open(assignment)
            await delete_expired_row(self._store, self._view)
        return failure

    async def _claim_due(self, assignment: Assignment) -> Failure | None:
        own_id = self._view.own_row.daemon_id
        directory = self._view.directory
        due = [
            partition_id
            for partition_id, taker in assignment.takers.items()
            if taker == own_id
            or self._view.is_own(directory.seen(partition_id))
        ]
        due = [one for one in due if self._claimant.due(one)]
        for partition_id in due[: self._settings.claims_count]:
            failure = await self._claimant.claim(partition_id)
            if failure is not None:
                return failure
        return None

    async def _release_surplus(self, assignment: Assignment) -> Failure | None:
        if self._awaits_claim():
            return None
        for partition_id in self.owned:
            target = assignment.within_share.get(partition_id)
            if target not in {None, self._view.own_row.daemon_id}:
                now_ms = self._clock.monotonic_ms()
                self._last_release = (partition_id, now_ms)
                return await self._claimant.release(partition_id)
        return None

    def _awaits_claim(self) -> bool:
        if self._last_release is None:
            return False
        partition_id, released_at_ms = self._last_release
        waited_ms = self._clock.monotonic_ms() - released_at_ms
        is_free = self._view.directory.seen(partition_id).row.is_free
        return is_free and waited_ms < self._settings.release_wait_ms


__all__ = ('OwnershipManager',)
