"""Claims and releases of partitions, from the owner rows as last read."""

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Epoch, PartitionId
from radishlift.core.logs import log_event
from radishlift.ownership.fleet_view import Assignment, FleetView
from radishlift.ownership.holdings import Holdings, OwnershipState
from radishlift.ownership.owner_rows import (
    OwnerRow,
    SeenOwner,
    replace_owner,
)
from radishlift.ownership.settings import OwnershipSettings
from radishlift.services.api import TableStore


class Claimant:
    """Writes owner rows for this daemon and moves its holdings."""

    def __init__(
        self,
        store: TableStore,
        view: FleetView,
        holdings: Holdings,
        settings: OwnershipSettings,
    ) -> None:
        self._store = store
        self._view = view
        self._directory = view.directory
        self._holdings = holdings
        self._settings = settings

    async def settle(self) -> None:
        """Drops what other daemons have taken and ends begun releases."""
        for partition_id, claim in self._holdings.held_claims().items():
            seen = self._directory.seen(partition_id)
            if seen.version != claim.owner_row_version:
                await self._holdings.lose(partition_id)
        releasing = self._holdings.in_state(OwnershipState.releasing)
        for partition_id in releasing:
            await self._write_release(partition_id)

    def due(self, partition_id: PartitionId) -> bool:
        """Tells whether a partition that is not held may be claimed.

        A row of this process that it does not hold comes from a claim whose
        answer was lost, or its journal has failed. It is claimed again: the
        higher epoch keeps out delayed inserts of the earlier journal.
        """
        seen = self._directory.seen(partition_id)
        if partition_id in self._holdings.held_claims():
            return False
        if partition_id in self._view.own_row.declined:
            return False
        return self._view.is_own(seen) or self._view.is_claimable(seen)

    def has_open(self, assignment: Assignment) -> bool:
        """Tells whether claims or releases remain, here or elsewhere."""
        if self._holdings.in_state(OwnershipState.releasing):
            return True
        own_id = self._view.own_row.daemon_id
        for partition_id in self._directory.partitions():
            if self.due(partition_id):
                return True
            target = assignment.within_share.get(partition_id, own_id)
            is_held = partition_id in self._holdings.held_claims()
            if is_held and target != own_id:
                return True
        return False

    async def claim(self, partition_id: PartitionId) -> Failure | None:
        """Claims a partition; losing to a faster claimant is no failure."""
        seen = self._directory.seen(partition_id)
        holding = self._holdings.get(partition_id)
        holding.trigger('claim')
        wanted = OwnerRow(
            self._view.own_row.daemon_id,
            self._view.own_row.incarnation,
            Epoch(seen.row.epoch + 1),
        )
        outcome = await self._replace(seen, wanted)
        if not isinstance(outcome, Failure) and outcome.row == wanted:
            await self._holdings.acquire(outcome.claim)
            return None
        holding.trigger('fail_claim')
        return outcome if isinstance(outcome, Failure) else None

    async def release(self, partition_id: PartitionId) -> Failure | None:
        """Stops a partition and gives up its owner row."""
        releasing = self._holdings.in_state(OwnershipState.releasing)
        if partition_id not in releasing:
            await self._holdings.begin_release(partition_id)
        return await self._write_release(partition_id)

    async def _write_release(self, partition_id: PartitionId) -> Failure | None:
        seen = self._directory.seen(partition_id)
        outcome = await self._replace(seen, seen.row.released())
        if isinstance(outcome, Failure):
            return outcome
        if self._view.is_own(outcome):
            reason = f'owner row {partition_id} was not as last read'
            return Failure(ErrorKind.conflict, reason)
        await self._holdings.lose(partition_id)
        return None

    async def _replace(
        self,
        seen: SeenOwner,
        row: OwnerRow,
    ) -> SeenOwner | Failure:
        attempts = self._settings.commit_attempts
        # Noted before the outcome is known: it may have changed in any case.
        self._view.own_row.note_change()
        outcome = await replace_owner(self._store, seen, row, attempts)
        if not isinstance(outcome, Failure):
            self._directory.update(outcome)
        elif outcome.kind is ErrorKind.internal:
            log_event('bad_owner_row', reason=outcome.reason)
        return outcome


__all__ = ('Claimant',)
