"""Claims and releases partitions, based on the owner rows last read."""

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Epoch, PartitionId
from radishlift.core.logs import log_event
from radishlift.ownership.fleet_view import Assignment, FleetView
from radishlift.ownership.holdings import Holdings, OwnershipState
from radishlift.ownership.owner_rows import (
    OwnerRow,
    StoredOwner,
    replace_owner,
)
from radishlift.ownership.settings import OwnershipSettings
from radishlift.services.api import TableStore


class Claimant:
    """Writes the owner rows of this daemon and updates its holdings."""

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

    async def sync_holdings(self) -> None:
        """Drops partitions that have other owners and finishes releases."""
        for partition_id, claim in self._holdings.held_claims().items():
            stored = self._directory.stored_owner(partition_id)
            if stored.version != claim.owner_row_version:
                await self._holdings.lose(partition_id)
        releasing = self._holdings.in_state(OwnershipState.releasing)
        for partition_id in releasing:
            await self._write_release(partition_id)

    def is_due(self, partition_id: PartitionId) -> bool:
        """Returns whether a partition that is not held may be claimed.

        If the row names this process but the partition is not held, the
        response to a claim was lost or the journal has failed. It is claimed
        again: the higher epoch rejects delayed inserts of the old journal.
        """
        stored = self._directory.stored_owner(partition_id)
        if partition_id in self._holdings.held_claims():
            return False
        if partition_id in self._view.own_row.declined:
            return False
        return self._view.is_own(stored) or self._view.is_claimable(stored)

    def has_pending_changes(self, assignment: Assignment) -> bool:
        """Returns whether partitions remain to be claimed or released."""
        if self._holdings.in_state(OwnershipState.releasing):
            return True
        own_id = self._view.own_row.daemon_id
        for partition_id in self._directory.partitions():
            if self.is_due(partition_id):
                return True
            target = assignment.balanced.get(partition_id, own_id)
            is_held = partition_id in self._holdings.held_claims()
            if is_held and target != own_id:
                return True
        return False

    async def claim(self, partition_id: PartitionId) -> Failure | None:
        """Claims a partition; losing to another claimant is no failure."""
        stored = self._directory.stored_owner(partition_id)
        holding = self._holdings.get(partition_id)
        holding.trigger('claim')
        wanted = OwnerRow(
            self._view.own_row.daemon_id,
            self._view.own_row.incarnation,
            Epoch(stored.row.epoch + 1),
        )
        outcome = await self._replace(stored, wanted)
        if not isinstance(outcome, Failure) and outcome.row == wanted:
            await self._holdings.acquire(outcome.claim)
            return None
        holding.trigger('fail_claim')
        return outcome if isinstance(outcome, Failure) else None

    async def release(self, partition_id: PartitionId) -> Failure | None:
        """Stops a partition and releases its owner row."""
        releasing = self._holdings.in_state(OwnershipState.releasing)
        if partition_id not in releasing:
            await self._holdings.start_release(partition_id)
        return await self._write_release(partition_id)

    async def _write_release(self, partition_id: PartitionId) -> Failure | None:
        stored = self._directory.stored_owner(partition_id)
        outcome = await self._replace(stored, stored.row.released())
        if isinstance(outcome, Failure):
            return outcome
        if self._view.is_own(outcome):
            reason = f'owner row {partition_id} changed since it was read'
            return Failure(ErrorKind.conflict, reason)
        await self._holdings.lose(partition_id)
        return None

    async def _replace(
        self,
        stored: StoredOwner,
        row: OwnerRow,
    ) -> StoredOwner | Failure:
        attempts = self._settings.commit_attempts
        # Counted before the write, since the row may change even if the write
        # fails with an unknown outcome.
        self._view.own_row.count_owner_change()
        outcome = await replace_owner(self._store, stored, row, attempts)
        if not isinstance(outcome, Failure):
            self._directory.update(outcome)
        elif outcome.kind is ErrorKind.internal:
            log_event('bad_owner_row', reason=outcome.reason)
        return outcome


__all__ = ('Claimant',)
