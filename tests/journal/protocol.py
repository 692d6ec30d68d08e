"""Explores interleavings of two owners of one partition.

Every state is reached by running the real journal, keeper and recovery from
the start, since they never wait for anything but the store in this process.
"""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.journal.partition_journal import PartitionJournal
from radishlift.journal.recovery import recover
from radishlift.journal.snapshot_keeper import SnapshotKeeper
from radishlift.ownership.api import OWNERS_TABLE, OwnerClaim
from tests.journal.states import PARTITION, Noted, Notes, Owner
from tests.standins.tables import (
    Fault,
    MemoryObjectStore,
    MemoryTableStore,
    Tables,
)

Action = tuple[str, int]

# A flush sends its row up to twice; a fault hits the first send. After
# `lose_both` both sends are lost and may arrive late.
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
    'withdraw',
    *_FAULTS,
)


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine that only yields to let others run."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration as end:
        return end.value


@dataclass
class Incarnation:
    """One ownership of the partition by one of the owners."""

    journal: PartitionJournal
    base: list[int]
    positions: dict[int, int] = field(default_factory=dict)
    withdrawn: set[int] = field(default_factory=set)

    @property
    def written(self) -> list[int]:
        return list(self.positions)

    @property
    def durable(self) -> list[int]:
        last = self.journal.durable_position
        return [one for one, at in self.positions.items() if at <= last]

    def dropped(self) -> list[int]:
        """Lists the numbers that were reported as certainly not written."""
        closed = self.journal._durability.closed
        if closed is None or closed.kind is not ErrorKind.not_owner:
            return list(self.withdrawn)
        last = self.journal.durable_position
        dropped = [
            number
            for number, position in self.positions.items()
            if position > last
            and self.journal._durability._outcome_after_close(position)
            is closed
        ]
        return [*dropped, *self.withdrawn]


def dump_of(notes: Notes) -> Callable[[], dict[str, Any]]:
    """Returns how to dump the only state of the partition."""
    return lambda: {'Notes': notes.dump()}


class World:
    """The table service, two owners and all that they were told."""

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
        self.current: list[Incarnation | None] = [None, None]
        self.all: list[Incarnation] = []
        self.late: list[Any] = []
        self._numbers = count(1)
        self._epochs = count(1)
        for action in path:
            self.act(*action)

    def act(self, name: str, index: int) -> None:
        """Takes one step; a step that isn't possible has no effect."""
        if name == 'late':
            if self.late:
                self.tables.commit(self.late.pop(0))
        elif name == 'claim':
            self.claims[index] = self.owners[index].claim(next(self._epochs))
            self.current[index] = None
        elif name == 'recover':
            self._recover(index)
        elif self.current[index] is not None:
            self._work(name, self.owners[index], self.current[index])

    def check(self) -> None:
        """Checks what the owners were told against what is recovered."""
        notes = Notes()
        store = MemoryTableStore(self.tables)
        recovered = run(recover(store, self.objects, PARTITION, [notes]))
        assert not isinstance(recovered, Failure), recovered
        numbers = notes.numbers
        assert len(numbers) == len(set(numbers)), 'a record is there twice'
        for one in self.all:
            kept = [number for number in numbers if number in one.written]
            assert kept[: len(one.durable)] == one.durable, 'lost or reordered'
            assert not set(one.dropped()) & set(numbers), '"not run" ran'
        self._check_owner_in_force(numbers)

    def signature(self) -> Any:
        """Returns what determines the future, to tell states apart."""
        rows = [
            (row.key, row.value['epoch'], str(row.value['records']))
            for row in self.tables.scan('journal', '', '', 99)
        ]
        owner_version = self.tables.read(OWNERS_TABLE, PARTITION).version
        snapshot = self.tables.read('snapshots', PARTITION).value
        held = [
            one
            and (
                one.journal.claim.owner_row_version == owner_version,
                tuple(one.base),
                tuple(one.written),
                one.journal.durable_position,
                one.journal.pending_count,
                one.journal._sent is not None,
                one.journal._captured is not None,
                str(one.journal.refusal()),
            )
            for one in self.current
        ]
        delayed = [
            (
                str(late.writes[0].value['records']),
                any(one.version == owner_version for one in late.conditions),
            )
            for late in self.late
        ]
        claimed = [
            claim is not None and claim.owner_row_version == owner_version
            for claim in self.claims
        ]
        return str((rows, snapshot, held, delayed, claimed))

    def _recover(self, index: int) -> None:
        owner, claim = self.owners[index], self.claims[index]
        if claim is None or self.current[index] is not None:
            return
        notes = Notes()
        owner.notes = notes
        recovered = run(recover(owner.store, self.objects, PARTITION, [notes]))
        if isinstance(recovered, Failure):
            raise AssertionError(f'owner can not recover: {recovered}')
        owner.journal = PartitionJournal(
            owner.store,
            claim,
            recovered,
            owner.settings,
            dump_of(notes),
        )
        owner.keeper = SnapshotKeeper(
            owner.store, self.objects, claim, owner.settings
        )
        self.current[index] = Incarnation(owner.journal, list(notes.numbers))
        self.all.append(self.current[index])

    def _work(self, name: str, owner: Owner, held: Incarnation) -> None:
        if name in _FAULTS:
            noted = Noted(next(self._numbers))
            position = held.journal.append(noted)
            if not isinstance(position, Failure):
                owner.notes.apply(noted)
                held.positions[noted.number] = position
            owner.store.fail_next_commits = list(_FAULTS[name])
            run(held.journal.flush())
            owner.store.fail_next_commits = []
            self.late.extend(owner.store.lost_requests)
            owner.store.lost_requests.clear()
        elif name == 'withdraw':
            self._withdraw(owner, held)
        elif name == 'snapshot':
            captured = held.journal.take_captured()
            if captured is not None:
                owner.keeper.offer(captured)
                run(owner.keeper.step(1))
        elif name == 'delete':
            run(owner.keeper.step(9))

    def _withdraw(self, owner: Owner, held: Incarnation) -> None:
        for number, position in list(held.positions.items())[-1:]:
            if held.journal.withdraw(position):
                held.positions.pop(number)
                held.withdrawn.add(number)
                owner.notes.numbers.remove(number)

    def _check_owner_in_force(self, numbers: list[int]) -> None:
        version = self.tables.read(OWNERS_TABLE, PARTITION).version
        for held in self.current:
            if held is None or held.journal.claim.owner_row_version != version:
                continue
            expected = held.base + held.written
            assert numbers == expected[: len(numbers)], 'a late row landed'
            assert len(numbers) >= len(held.base) + len(held.durable)


def explore(max_states: int, depth: int) -> int:
    """Checks all states within some steps after the first recovery.

    Returns how many there are, at most `max_states`.
    """
    actions = [(name, who) for who in (0, 1) for name in _OWNER_ACTIONS]
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


__all__ = ('Incarnation', 'World', 'dump_of', 'explore')
