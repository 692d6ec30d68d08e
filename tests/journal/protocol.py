"""Explores interleavings of two owners of one partition.

Each state is reached by running the real journal, snapshot writer and recovery
from the start. They only wait for the in-memory store, so that no event loop is
needed.
"""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.journal.partition_journal import PartitionJournal
from radishlift.journal.recovery import recover
from radishlift.journal.snapshot_writer import SnapshotWriter
from radishlift.ownership.api import OWNERS_TABLE, OwnerClaim
from tests.journal.states import PARTITION, NumberList, NumberRecord, Owner
from tests.standins.tables import (
    Fault,
    MemoryObjectStore,
    MemoryTableStore,
    Tables,
)

Action = tuple[str, int]

# Faults of the sends of a flush, which sends its row up to twice. After
# `lose_both` both requests are delayed and may arrive later.
_FAULTS: Final = {
    'flush': [],
    'lose_answer': [Fault.lose_answers, Fault.down],
    'lose_both': [Fault.lose_requests, Fault.lose_requests],
    'refuse': [Fault.down],
}
_OWNER_ACTIONS: Final = (
    'claim',
    'recover',
    'snapshot',
    'delete',
    'cancel',
    *_FAULTS,
)


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine that waits for nothing outside this process."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration as end:
        return end.value


@dataclass
class Ownership:
    """One ownership of the partition by one of the owners."""

    journal: PartitionJournal
    initial_numbers: list[int]
    positions: dict[int, int] = field(default_factory=dict)
    cancelled: set[int] = field(default_factory=set)

    @property
    def written(self) -> list[int]:
        return list(self.positions)

    @property
    def durable(self) -> list[int]:
        last = self.journal.durable_position
        return [
            number
            for number, position in self.positions.items()
            if position <= last
        ]

    def not_written(self) -> list[int]:
        """Returns the numbers that were reported as not written."""
        closed = self.journal._durability.close_failure
        if closed is None or closed.kind is not ErrorKind.not_owner:
            return list(self.cancelled)
        last = self.journal.durable_position
        dropped = [
            number
            for number, position in self.positions.items()
            if position > last
            and self.journal._durability._outcome_after_close(position)
            is closed
        ]
        return [*dropped, *self.cancelled]


def make_dump(state: NumberList) -> Callable[[], dict[str, Any]]:
    """Returns a function that dumps the only state of the partition."""
    return lambda: {'NumberList': state.dump()}


class World:
    """The table service, two owners and the results that they received."""

    def __init__(self, path: tuple[Action, ...]) -> None:
        self.tables = Tables()
        self.objects = MemoryObjectStore()
        self.owners = [
            Owner(
                MemoryTableStore(self.tables),
                self.objects,
                insert_attempts=2,
                snapshot_rows_count=1,
            )
            for _ in range(2)
        ]
        self.claims: list[OwnerClaim | None] = [None, None]
        self.current: list[Ownership | None] = [None, None]
        self.ownerships: list[Ownership] = []
        self.late_requests: list[Any] = []
        self._numbers = count(1)
        self._epochs = count(1)
        for action in path:
            self.act(*action)

    def act(self, name: str, index: int) -> None:
        """Runs one action; an action that isn't possible has no effect."""
        if name == 'late':
            if self.late_requests:
                self.tables.commit(self.late_requests.pop(0))
        elif name == 'claim':
            self.claims[index] = self.owners[index].claim(next(self._epochs))
            self.current[index] = None
        elif name == 'recover':
            self._recover(index)
        elif self.current[index] is not None:
            self._run_owner_action(
                name, self.owners[index], self.current[index]
            )

    def check(self) -> None:
        """Compares the results that owners received with what is recovered."""
        state = NumberList()
        store = MemoryTableStore(self.tables)
        recovered = run(recover(store, self.objects, PARTITION, [state]))
        assert not isinstance(recovered, Failure), recovered
        numbers = state.numbers
        assert len(numbers) == len(set(numbers)), 'a record was written twice'
        for ownership in self.ownerships:
            kept = [number for number in numbers if number in ownership.written]
            assert kept[: len(ownership.durable)] == ownership.durable, (
                'lost or reordered'
            )
            assert not set(ownership.not_written()) & set(numbers), (
                'a record reported as not written was recovered'
            )
        self._check_owner_in_force(numbers)

    def signature(self) -> Any:
        """Returns a text that is equal for states that behave equally."""
        rows = [
            (row.key, row.value['epoch'], str(row.value['records']))
            for row in self.tables.scan('journal', '', '', 99)
        ]
        owner_version = self.tables.read(OWNERS_TABLE, PARTITION).version
        snapshot = self.tables.read('snapshots', PARTITION).value
        current = [
            ownership
            and (
                ownership.journal.claim.owner_row_version == owner_version,
                tuple(ownership.initial_numbers),
                tuple(ownership.written),
                ownership.journal.durable_position,
                ownership.journal.pending_count,
                ownership.journal._in_flight_row is not None,
                ownership.journal._captured_state is not None,
                str(ownership.journal.refusal()),
            )
            for ownership in self.current
        ]
        delayed = [
            (
                str(late.writes[0].value['records']),
                any(
                    condition.version == owner_version
                    for condition in late.conditions
                ),
            )
            for late in self.late_requests
        ]
        claimed = [
            claim is not None and claim.owner_row_version == owner_version
            for claim in self.claims
        ]
        return str((rows, snapshot, current, delayed, claimed))

    def _recover(self, index: int) -> None:
        owner, claim = self.owners[index], self.claims[index]
        if claim is None or self.current[index] is not None:
            return
        state = NumberList()
        owner.state = state
        recovered = run(recover(owner.store, self.objects, PARTITION, [state]))
        if isinstance(recovered, Failure):
            raise AssertionError(f'recovery failed: {recovered}')
        owner.journal = PartitionJournal(
            owner.store,
            claim,
            recovered,
            owner.settings,
            make_dump(state),
        )
        owner.snapshot_writer = SnapshotWriter(
            owner.store, self.objects, claim, owner.settings
        )
        self.current[index] = Ownership(owner.journal, list(state.numbers))
        self.ownerships.append(self.current[index])

    def _run_owner_action(
        self, name: str, owner: Owner, ownership: Ownership
    ) -> None:
        if name in _FAULTS:
            record = NumberRecord(next(self._numbers))
            position = ownership.journal.append(record)
            if not isinstance(position, Failure):
                owner.state.apply(record)
                ownership.positions[record.number] = position
            owner.store.fail_next_commits = list(_FAULTS[name])
            run(ownership.journal.flush())
            owner.store.fail_next_commits = []
            self.late_requests.extend(owner.store.lost_requests)
            owner.store.lost_requests.clear()
        elif name == 'cancel':
            self._cancel_last(owner, ownership)
        elif name == 'snapshot':
            captured = ownership.journal.pop_captured_state()
            if captured is not None:
                owner.snapshot_writer.set_next_state(captured)
                run(owner.snapshot_writer.step(1))
        elif name == 'delete':
            run(owner.snapshot_writer.step(9))

    def _cancel_last(self, owner: Owner, ownership: Ownership) -> None:
        for number, position in list(ownership.positions.items())[-1:]:
            if ownership.journal.cancel(position):
                ownership.positions.pop(number)
                ownership.cancelled.add(number)
                owner.state.numbers.remove(number)

    def _check_owner_in_force(self, numbers: list[int]) -> None:
        version = self.tables.read(OWNERS_TABLE, PARTITION).version
        for ownership in self.current:
            if (
                ownership is None
                or ownership.journal.claim.owner_row_version != version
            ):
                continue
            expected = ownership.initial_numbers + ownership.written
            assert numbers == expected[: len(numbers)], (
                'a row of a previous owner was written'
            )
            assert len(numbers) >= len(ownership.initial_numbers) + len(
                ownership.durable
            )


def explore(max_states: int, depth: int) -> int:
    """Checks all states within `depth` actions after the first recovery.

    Returns the number of distinct states, at most `max_states`.
    """
    actions = [(name, index) for index in (0, 1) for name in _OWNER_ACTIONS]
    actions.append(('late', 0))
    seen: set[str] = set()
    paths: list[tuple[Action, ...]] = [(('claim', 0), ('recover', 0))]
    for _ in range(depth):
        following = []
        for path in paths:
            for action in actions:
                longer = (*path, action)
                world = World(longer)
                signature = world.signature()
                if signature in seen or len(seen) == max_states:
                    continue
                seen.add(signature)
                _check(world, longer)
                following.append(longer)
        paths = following
    return len(seen)


def _check(world: World, path: tuple[Action, ...]) -> None:
    try:
        world.check()
    except AssertionError as error:
        raise AssertionError(f'{error} after {path}') from error


__all__ = ('Ownership', 'World', 'explore', 'make_dump')
