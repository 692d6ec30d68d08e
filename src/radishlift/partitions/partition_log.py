"""Records of a running partition and the effects that wait for them."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.journal.partition_journal import PartitionJournal
from radishlift.partitions.states import PartitionStates

Effect = Callable[[], None]

_UNRESOLVED_KINDS: Final = frozenset((ErrorKind.store_outcome_unknown,))
# All tries together stay below the 50 ms that an owner has for its reply.
_ROLLBACK_TRIES_COUNT: Final = 4
_ROLLBACK_RETRY_MS: Final = 10


class PartitionLog:
    """Appends applied records to the journal and runs effects once durable.

    An effect, such as sending a start, waits for the last record that was
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
        self._not_durable: deque[tuple[int, Any]] = deque()

    @property
    def has_pending(self) -> bool:
        """Returns whether records are not yet in a row."""
        return self.journal.pending_count > 0

    def append(self, record: Any) -> Failure | None:
        """Appends a record that was already applied to its state."""
        position = self.journal.append(record)
        if isinstance(position, Failure):
            return position
        self.last_position = position
        self._not_durable.append((position, record))
        return None

    def apply(self, records: Iterable[Any]) -> Failure | None:
        """Applies records to their states and appends them.

        The journal closes only while a flush waits for the store, so either
        all records are appended or none.
        """
        refusal = self.journal.refusal()
        if refusal and refusal.kind is not ErrorKind.store_unavailable:
            return refusal
        for record in records:
            self._states.apply(record)
            failure = self.append(record)
            if failure is not None:
                return failure
        return None

    def not_durable(self) -> tuple[tuple[int, Any], ...]:
        """Lists the records that are not durable, with their positions."""
        self._forget_durable()
        return tuple(self._not_durable)

    def run_when_durable(self, effect: Effect) -> None:
        """Schedules an effect for when all records so far are durable."""
        self._effects.append((self.last_position, effect))

    def run_durable_effects(self) -> None:
        """Runs the scheduled effects whose records are durable."""
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

        See `OwnedPartition.commit` for the failures. The last record is rolled
        back if it is not journaled in time, was not sent to the store and can
        be undone. The records before it stay and are journaled later.
        """
        refusal = self.journal.refusal()
        if refusal is not None:
            return refusal
        failure = self.apply(records)
        if failure is not None:
            return failure
        position = self.last_position
        failure = await self.journal.wait_durable(position, timeout_ms)
        return await self.resolve_timeout(
            failure,
            position,
            lambda: self._roll_back(records[-1], position),
        )

    async def resolve_timeout(
        self,
        failure: Failure | None,
        position: int,
        roll_back: Callable[[], bool],
    ) -> Failure | None:
        """Tries to roll back records that were not journaled in time.

        Tries a few times: during an outage a row with the records may be in
        flight, and most such rows are rejected quickly. Fails with
        `store_unavailable` if the records were rolled back.
        """
        for _ in range(_ROLLBACK_TRIES_COUNT):
            if failure is None or failure.kind not in _UNRESOLVED_KINDS:
                return failure
            if roll_back():
                reason = f'rolled back: {failure.reason}'
                return Failure(ErrorKind.store_unavailable, reason)
            failure = await self.journal.wait_durable(
                position, _ROLLBACK_RETRY_MS
            )
        return failure

    def _forget_durable(self) -> None:
        durable = self.journal.durable_position
        while self._not_durable and self._not_durable[0][0] <= durable:
            self._not_durable.popleft()

    def _roll_back(self, record: Any, position: int) -> bool:
        state = self._states.undoable_state(record)
        if state is None or not self.journal.cancel(position):
            return False
        state.undo(record)
        return True


__all__ = ('Effect', 'PartitionLog')
