"""Conditional writes of `slots` rows."""

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.requests.slot_rows import (
    SLOTS_TABLE,
    SlotOwner,
    SlotRow,
    dump_slot_row,
    parse_slot_row,
)
from radishlift.requests.slot_views import SlotView
from radishlift.services.api import (
    Committed,
    Condition,
    Conflict,
    Row,
    TableStore,
    Transaction,
    Write,
)


class WriteBudget:
    """Token bucket of writes; it holds the writes of one second."""

    def __init__(self, clock: Clock, per_s: int) -> None:
        self._clock = clock
        self._per_s = per_s
        self._tokens = float(per_s)
        self._filled_at_ms = clock.monotonic_ms()

    def spend(self) -> bool:
        """Takes one token; returns False if there is none."""
        now_ms = self._clock.monotonic_ms()
        earned = (now_ms - self._filled_at_ms) * self._per_s / 1000
        self._tokens = min(self._per_s, self._tokens + earned)
        self._filled_at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class SlotWriter:
    """Writes rows on behalf of one owner."""

    def __init__(
        self,
        store: TableStore,
        owner: SlotOwner,
        budget: WriteBudget,
    ) -> None:
        self._store = store
        self._owner = owner
        self._budget = budget
        self.write_count = 0

    async def write(
        self, view: SlotView, changed_row: SlotRow
    ) -> Failure | None:
        """Replaces the row if its version is still the known one.

        Until the outcome is known `own_count` is the lower of both numbers, so
        that it is not too high for either outcome.
        """
        if not self._budget.spend():
            return Failure(ErrorKind.overloaded, 'the write budget is used up')
        view.own_count = min(view.own_count, changed_row.slots_of(self._owner))
        transaction = Transaction(
            (Condition(SLOTS_TABLE, view.executor_id, view.version),),
            (Write(SLOTS_TABLE, view.executor_id, dump_slot_row(changed_row)),),
        )
        view.unresolved_write = transaction
        return await self._commit(view, transaction, is_first=True)

    async def delete(self, view: SlotView) -> Failure | None:
        """Deletes the row of an executor that was removed for good."""
        if not self._budget.spend():
            return Failure(ErrorKind.overloaded, 'the write budget is used up')
        transaction = Transaction(
            (Condition(SLOTS_TABLE, view.executor_id, view.version),),
            (Write(SLOTS_TABLE, view.executor_id, None),),
        )
        self.write_count += 1
        outcome = await self._store.commit(transaction)
        return outcome if isinstance(outcome, Failure) else None

    async def resolve_write(self, view: SlotView) -> Failure | None:
        """Repeats a write whose outcome is unknown.

        Reading the old version is not enough, since the first attempt may still
        take effect. The repeat either succeeds or conflicts with a newer
        version, and both resolve the write.
        """
        transaction = view.unresolved_write
        if transaction is None:
            return None
        if not self._budget.spend():
            return Failure(ErrorKind.overloaded, 'the write budget is used up')
        return await self._commit(view, transaction, is_first=False)

    def update_view(self, view: SlotView, row: Row, *, is_latest: bool) -> None:
        """Updates a view if a row is newer.

        A scan may return a row that is older than the view. With `is_latest`
        version 0 means that the row was deleted.
        """
        is_newer = row.version > view.version
        is_deleted = is_latest and row.version == 0
        if not (is_newer or is_deleted):
            return
        parsed = parse_slot_row(row.value)
        if isinstance(parsed, Failure):
            log_event('bad_slot_row', executor=row.key, reason=parsed.reason)
            return
        view.update(row.version, parsed, self._owner)

    async def _commit(
        self,
        view: SlotView,
        transaction: Transaction,
        *,
        is_first: bool,
    ) -> Failure | None:
        self.write_count += 1
        outcome = await self._store.commit(transaction)
        if isinstance(outcome, Committed):
            write = transaction.writes[0]
            version = outcome.versions[0]
            row = Row(write.table, write.key, version, write.value)
            self.update_view(view, row, is_latest=True)
            return None
        if isinstance(outcome, Conflict):
            return self._update_from_conflict(view, outcome)
        if outcome.kind is ErrorKind.store_unavailable and is_first:
            # The write is confirmed not applied and has no earlier attempt.
            view.update(view.version, view.row, self._owner)
        return outcome

    def _update_from_conflict(
        self, view: SlotView, conflict: Conflict
    ) -> Failure:
        self.update_view(view, conflict.rows[0], is_latest=True)
        return Failure(ErrorKind.conflict, 'another daemon wrote the row')


__all__ = ('SlotWriter', 'WriteBudget')
