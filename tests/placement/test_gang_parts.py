import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Attempt, GangRoundId, JobId, PartitionId
from radishlift.placement.explanations import ExplanationKind
from radishlift.placement.gang_parts import HOLD_MS, PartRequest
from radishlift.placement.jobs import JobKind, Resources, TaskState
from radishlift.placement.records import GangCommitted, GangReserved
from radishlift.placement.state import PartitionState
from radishlift.placement.transfers import QueuedTask
from tests.placement.builders import (
    find_starts,
    make_engine,
    make_job,
    make_worker,
)

SMALL = Resources(4_000, 8_000)
HALF = Resources(2_000, 4_000)
HOME = PartitionId('p1')
ROUND_ID = GangRoundId('p1.1.1')
GANG = make_job('gang', kind=JobKind.gang, demand=HALF, task_count=4)


@pytest.fixture
def partition():
    return make_engine(make_worker(1, SMALL))


def make_tasks(*indexes):
    return tuple(QueuedTask(index, Attempt(0)) for index in indexes)


def reserve(engine, now_ms=0):
    return engine.gang_parts.reserve(
        PartRequest(GANG, HOME, make_tasks(2, 3), now_ms, ROUND_ID)
    )


def test_held_capacity_is_not_allocated_to_others(partition):
    """Guards against a part that can't start although all others can."""
    state, engine = partition
    assert isinstance(reserve(engine), GangReserved)
    engine.accept(make_job('other', demand=HALF), 1)
    assert not find_starts(engine.tick(1))
    restored = PartitionState()
    restored.load(state.dump())
    assert restored.dump() == state.dump()
    assert isinstance(
        engine.gang_parts.commit(JobId('gang'), 2, ROUND_ID), GangCommitted
    )
    assert engine.explain('gang/2', 2).kind is ExplanationKind.runs
    for index in (2, 3):
        engine.observe_task_end(f'gang/{index}', 1, TaskState.finished)
    assert len(find_starts(engine.tick(3))) == 1


@pytest.mark.parametrize('is_expired', [True, False])
def test_released_hold_is_never_committed(partition, is_expired):
    """Guards against capacity held for ever, and against a late commit.

    The expiry alone must not end the hold: the home may have decided to
    commit.
    """
    _, engine = partition
    reserve(engine)
    engine.accept(make_job('other', demand=SMALL), 1)
    now_ms = HOLD_MS - 1 + is_expired
    assert not find_starts(engine.tick(now_ms))
    assert bool(engine.gang_parts.list_expired_holds(now_ms)) is is_expired
    engine.gang_parts.release(JobId('gang'), 'not decided', ROUND_ID)
    assert len(find_starts(engine.tick(HOLD_MS))) == 1
    assert not engine.gang_parts.list_expired_holds(HOLD_MS)
    late = engine.gang_parts.commit(JobId('gang'), HOLD_MS + 1, ROUND_ID)
    assert isinstance(late, Failure)
    assert late.kind is ErrorKind.conflict
    engine.observe_worker_loss(make_worker(1, SMALL).worker_id, 'i1')
    engine.observe_worker(make_worker(2, SMALL))
    engine.tick(HOLD_MS + 2)
    again = reserve(engine, HOLD_MS + 3)
    assert isinstance(again, Failure)
    assert again.reason == 'the round was released'


def test_part_without_enough_capacity_holds_nothing(partition):
    """Guards against a hold for only some of the members."""
    state, engine = partition
    before = state.dump()
    refused = engine.gang_parts.reserve(
        PartRequest(GANG, HOME, make_tasks(0, 1, 2), 0),
    )
    assert isinstance(refused, Failure)
    assert state.dump() == before


def test_lost_worker_ends_the_part(partition):
    """Guards against a commit on a worker that restarted."""
    _, engine = partition
    reserve(engine)
    engine.observe_worker(make_worker(1, SMALL, 'i2'))
    engine.tick(1)
    assert isinstance(
        engine.gang_parts.commit(JobId('gang'), 2, ROUND_ID), Failure
    )


def test_home_does_not_start_a_held_gang(partition):
    """Guards against a gang that starts both in its home and in parts."""
    _, engine = partition
    gang = make_job('gang', kind=JobKind.gang, demand=HALF, task_count=2)
    engine.accept(gang, 0)
    engine.gang_parts.reserve(PartRequest(gang, HOME, make_tasks(0), 0))
    assert not find_starts(engine.tick(1))
    engine.gang_parts.release(JobId('gang'), 'refused elsewhere')
    assert len(find_starts(engine.tick(2))) == 2
