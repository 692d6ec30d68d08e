"""Property test of the steps of rack moves, in a model without I/O."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from radishlift.core.ids import PartitionId, RackId
from radishlift.partitions.rack_moves import (
    NO_PARTITION,
    RackRow,
    RackStep,
    RackView,
    next_row,
    next_step,
)
from radishlift.partitions.rack_records import (
    RackHoldings,
    RackReleased,
    RackTaken,
)

RACK = RackId('r1')
WALKS_COUNT = 5_000
PARTITIONS = tuple(map(PartitionId, ('p1', 'p2', 'p3')))
ACTIONS = (
    *('step', 'step', 'step', 'step_late', 'step_lost', 'flush', 'flush'),
    *('document', 'take_over', 'start', 'end', 'arrive', 'former_step'),
)
MOVES = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 2), st.integers(0, 9)),
    min_size=20,
    max_size=150,
)
DOCUMENTS = st.lists(
    st.sampled_from((*PARTITIONS, NO_PARTITION)),
    min_size=2,
    max_size=6,
)


class ModelOwner:
    """An owner of a partition; `pending` records are not durable."""

    def __init__(self, partition_id, durable, version):
        self.partition_id = partition_id
        self.holdings = RackHoldings()
        self.holdings.load(durable.dump())
        self.pending = []
        self.version = version
        self.row = None

    def view(self, cell):
        return RackView(
            self.partition_id,
            cell.documents[self.version],
            self.holdings.held.get(RACK, 0),
            self.holdings.released.get(RACK, 0),
            self.row,
            not any(
                isinstance(record, RackReleased) for record in self.pending
            ),
            not cell.running[self.partition_id],
        )


class ModelCell:
    """The row of a rack, three partitions, and writes that arrive late."""

    def __init__(self, documents, decide=next_step):
        self.documents = documents
        self.decide = decide
        self.row = RackRow(NO_PARTITION, 0, 0)
        self.journals = {name: RackHoldings() for name in PARTITIONS}
        self.running = dict.fromkeys(PARTITIONS, 0)
        self.owners = {
            name: ModelOwner(name, journal, 0)
            for name, journal in self.journals.items()
        }
        self.previous = []
        self.late = []

    def act(self, action, place, number):
        owner = self.owners[PARTITIONS[place]]
        match action:
            case 'step' | 'step_late' | 'step_lost':
                self.step(owner, action)
            case 'former_step' if self.previous:
                previous = self.previous[number % len(self.previous)]
                self.step(previous, 'step', is_previous=True)
            case 'arrive' if self.late:
                self.commit(self.late.pop(number % len(self.late)))
            case 'flush':
                self.flush(owner)
            case 'document':
                last = len(self.documents) - 1
                owner.version = min(owner.version + 1, last)
            case 'take_over':
                self.take_over(owner, number % len(self.documents))
            case _:
                self.run(owner, action)

    def run(self, owner, action):
        name = owner.partition_id
        is_held = RACK in owner.holdings.held and not owner.pending
        is_open = is_held and self.documents[owner.version] == name
        if action == 'start' and is_open:
            self.running[name] += 1
        elif action == 'end' and self.running[name]:
            self.running[name] -= 1

    def take_over(self, owner, version):
        name = owner.partition_id
        self.previous.append(owner)
        self.owners[name] = ModelOwner(name, self.journals[name], version)

    def flush(self, owner):
        for change in owner.pending:
            self.journals[owner.partition_id].apply(change)
        owner.pending = []

    def step(self, owner, how, *, is_previous=False):
        view = owner.view(self)
        step = self.decide(view)
        match step:
            case RackStep.take:
                self.append(owner, RackTaken(RACK, view.row.serial))
            case RackStep.release:
                row_serial = view.row.serial if view.row else 0
                serial = max(view.held_serial, row_serial)
                self.append(owner, RackReleased(RACK, serial))
            case RackStep.read | RackStep.wait | RackStep.rest:
                owner.row = self.row
            case RackStep.claim | RackStep.pass_on:
                self.write(owner, next_row(view, step), how)
        if is_previous and owner.pending:
            # Its journal inserts fail, after which it drops the partition.
            self.previous.remove(owner)

    def append(self, owner, change):
        owner.holdings.apply(change)
        owner.pending.append(change)

    def write(self, owner, row, how):
        if how == 'step_late':
            self.late.append(row)
            owner.row = None
            return
        self.commit(row)
        # A conflict returns the row, a lost reply does not.
        owner.row = None if how == 'step_lost' else self.row

    def commit(self, row):
        if row.version == self.row.version:
            self.row = replace(row, version=row.version + 1)

    def check(self):
        holders = {
            name
            for name in PARTITIONS
            if RACK in self.journals[name].held
            or RACK in self.owners[name].holdings.held
        }
        assert len(holders) <= 1
        assert {name for name in PARTITIONS if self.running[name]} <= holders

    def finish_moves(self):
        """Completes all moves under the last document, without faults."""
        for owner in self.owners.values():
            owner.version = len(self.documents) - 1
        for _ in range(12):
            for owner in self.owners.values():
                # A waiting partition makes the partition in the row read it.
                owner.row = self.row if self.row.version else owner.row
                if self.decide(owner.view(self)) is RackStep.drain:
                    self.running[owner.partition_id] = 0
                self.step(owner, 'step')
                self.flush(owner)
                self.check()


# A partition took the rack back with its old serial, while a late write of a
# paused owner could still pass the rack on.
LATE_PASS_ON = """
step0 step0 flush0 document0 step0 flush0 step_late0 take_over0
step0 step0 step0 step0 flush0 arrive0 document1 step1 step1 step1
"""


def parse_move(word):
    return word[:-1], int(word[-1]), 2


def check_moves(documents, moves, decide=next_step):
    cell = ModelCell(documents, decide)
    for move in moves:
        cell.act(*move)
        cell.check()
    cell.finish_moves()
    assignee = documents[-1]
    held = {name for name in PARTITIONS if RACK in cell.journals[name].held}
    assert held == {assignee} - {NO_PARTITION}


def check_random_moves(decide):
    for seed in range(WALKS_COUNT):
        random = Random(seed)
        moves = [
            (random.choice(ACTIONS), random.randrange(3), random.randrange(10))
            for _ in range(100)
        ]
        check_moves(random.choices(PARTITIONS, k=4), moves, decide)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(DOCUMENTS, MOVES)
@example(
    [PARTITIONS[0], PARTITIONS[1], PARTITIONS[0]],
    list(map(parse_move, LATE_PASS_ON.split())),
)
def test_one_partition_at_most_holds_a_rack(documents, moves):
    """Guards against two partitions that may place on a rack."""
    check_moves(documents, moves)


def take_released(view):
    return next_step(replace(view, released_serial=0))


def pass_on_early(view):
    return next_step(replace(view, is_release_durable=True))


def release_used(view):
    return next_step(replace(view, is_vacant=True))


def take_from_other(view):
    step = next_step(view)
    return RackStep.take if step is RackStep.wait else step


@pytest.mark.parametrize(
    'broken',
    [take_released, pass_on_early, release_used, take_from_other],
)
def test_model_finds_broken_steps(broken):
    """Guards against a model that can't detect faults."""
    with pytest.raises(AssertionError):
        check_random_moves(broken)


def test_records_survive_a_snapshot_and_a_repeat():
    """Guards against a new owner that takes a released serial again."""
    holdings = RackHoldings()
    for change in (RackTaken(RACK, 1), RackReleased(RACK, 1)):
        holdings.apply(change)
    loaded = RackHoldings()
    loaded.load(holdings.dump())
    loaded.apply(RackTaken(RACK, 1))
    assert not loaded.held
    loaded.apply(RackTaken(RACK, 2))
    assert loaded.held == {RACK: 2}
