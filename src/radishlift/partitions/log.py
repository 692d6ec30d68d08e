"""Records of a running partition and the effects that wait for them."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.journal.partition_journal import PartitionJournal
from radishlift.partitions.states import PartitionStates

Effect = Callable[[], None]

_UNSETTLED: Final = frozenset((ErrorKind.store_outcome_unknown,))
# All looks together stay below the 50 ms that an owner has for its reply.
_WITHDRAWALS_COUNT: Final = 4
_LOOK_MS: Final = 10


class PartitionLog:
    """Appends records that are applied, and releases effects once durable.

    An effect, such as sending a start, is bound to the last record that was
    appended before it.
    """

    def __init__(
        self,
        journal: PartitionJournal,
        states: PartitionStates,
    ) -> None:
        self.journal = journal
        self.last_position = 0
        self._states = states
        self._effects: deque[tuple[int, Effect]] = deque()
        self._undurable: deque[tuple[int, Any]] = deque()

    @property
    def has_pending(self) -> bool:
        """Tells whether records wait for their row."""
        return self.journal.pending_count > 0

    def append(self, applied: Any) -> Failure | None:
        """Adds a record that was already applied to its state."""
        position = self.journal.append(applied)
        if isinstance(position, Failure):
            return position
        self.last_position = position
        self._undurable.append((position, applied))
        return None

    def apply(self, records: Iterable[Any]) -> Failure | None:
        """Applies records to their states and adds them.

        The journal closes only while a flush awaits, so either all records
        are added or none.
        """
        refusal = self.journal.refusal()
        if refusal and refusal.kind is not ErrorKind.store_unavailable:
            return refusal
        for change in records:
            self._states.apply(change)
            failure = self.append(change)
            if failure is not None:
                return failure
        return None

    def undurable(self) -> tuple[tuple[int, Any], ...]:
        """Lists the records that are not durable, with their positions."""
        self._forget_durable()
        return tuple(self._undurable)

    def after_last(self, effect: Effect) -> None:
        """Runs an effect once all records so far are durable."""
        self._effects.append((self.last_position, effect))

    def release(self) -> None:
        """Runs the effects whose records are durable."""
        self._forget_durable()
        durable = self.journal.durable_position
        while self._effects and self._effects[0][0] <= durable:
            _, effect = self._effects.popleft()
            effect()

    async def commit(
        self,
        records: Sequence[Any],
        timeout_ms: int,
    ) -> Failure | None:
        """Applies records and waits until they are journaled.

        See `OwnedPartition.commit` for the failures. The last record is taken
        back if it is not journaled in time, was not sent and can be undone;
        the records before it then stay and are journaled later.
        """
        refusal = self.journal.refusal()
        if refusal is not None:
            return refusal
        failure = self.apply(records)
        if failure is not None:
            return failure
        position = self.last_position
        failure = await self.journal.wait_durable(position, timeout_ms)
        return await self.settle(
            failure,
            position,
            lambda: self._take_back(records[-1], position),
        )

    async def settle(
        self,
        failure: Failure | None,
        position: int,
        take_back: Callable[[], bool],
    ) -> Failure | None:
        """Tries to take records back that were not journaled in time.

        During an outage a row with them may be on its way just now, and most
        such rows are refused within a moment. Fails with `store_unavailable`
        when the records were taken back.
        """
        for _ in range(_WITHDRAWALS_COUNT):
            if failure is None or failure.kind not in _UNSETTLED:
                return failure
            if take_back():
                reason = f'taken back: {failure.reason}'
                return Failure(ErrorKind.store_unavailable, reason)
            failure = await self.journal.wait_durable(position, _LOOK_MS)
        return failure

    def _forget_durable(self) -> None:
        durable = self.journal.durable_position
        while self._undurable and self._undurable[0][0] <= durable:
            self._undurable.popleft()

    def _take_back(self, change: Any, position: int) -> bool:
        state = self._states.undoable(change)
        if state is None or not self.journal.cancel(position):
            return False
        state.undo(change)
        return True


__all__ = ('Effect', 'PartitionLog')
