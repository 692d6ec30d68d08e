"""Conditional writes of `slots` rows, settled by read back."""

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
    """Bounds the writes per second; holds at most one second's worth."""

    def __init__(self, clock: Clock, per_s: int) -> None:
        self._clock = clock
        self._per_s = per_s
        self._tokens = float(per_s)
        self._filled_at_ms = clock.monotonic_ms()

    def spend(self) -> bool:
        """Takes one write if the budget has it."""
        now_ms = self._clock.monotonic_ms()
        earned = (now_ms - self._filled_at_ms) * self._per_s / 1000
        self._tokens = min(self._per_s, self._tokens + earned)
        self._filled_at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class SlotWriter:
    """Writes the row of one view at a time for one owner."""

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

    async def write(self, view: SlotView, changed: SlotRow) -> Failure | None:
        """Replaces the row if it is still the known one.

        Until the outcome is known the view counts the lower of both numbers
        of own slots, so that neither outcome is exceeded.
        """
        if not self._budget.spend():
            return Failure(ErrorKind.overloaded, 'write budget is spent')
        view.own_count = min(view.own_count, changed.slots_of(self._owner))
        transaction = Transaction(
            (Condition(SLOTS_TABLE, view.executor_id, view.version),),
            (Write(SLOTS_TABLE, view.executor_id, dump_slot_row(changed)),),
        )
        view.unresolved_write = transaction
        return await self._commit(view, transaction, is_first=True)

    async def delete(self, view: SlotView) -> Failure | None:
        """Deletes the row of an executor that is permanently gone."""
        if not self._budget.spend():
            return Failure(ErrorKind.overloaded, 'write budget is spent')
        transaction = Transaction(
            (Condition(SLOTS_TABLE, view.executor_id, view.version),),
            (Write(SLOTS_TABLE, view.executor_id, None),),
        )
        self.write_count += 1
        outcome = await self._store.commit(transaction)
        return outcome if isinstance(outcome, Failure) else None

    async def resolve_write(self, view: SlotView) -> Failure | None:
        """Repeats an unsettled write until the row has moved on.

        Reading the old version back is not enough: the first attempt may
        still take effect. Repeating it moves the version one way or another.
        """
        transaction = view.unresolved_write
        if transaction is None:
            return None
        if not self._budget.spend():
            return Failure(ErrorKind.overloaded, 'write budget is spent')
        return await self._commit(view, transaction, is_first=False)

    def update_view(self, view: SlotView, row: Row, *, is_latest: bool) -> None:
        """Takes over a row; a scan may be older than the view."""
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
            # Certainly not applied, and no earlier attempt may be.
            view.update(view.version, view.row, self._owner)
        return outcome

    def _update_from_conflict(
        self, view: SlotView, conflict: Conflict
    ) -> Failure:
        self.update_view(view, conflict.rows[0], is_latest=True)
        return Failure(ErrorKind.conflict, 'another daemon wrote the row')


__all__ = ('SlotWriter', 'WriteBudget')
