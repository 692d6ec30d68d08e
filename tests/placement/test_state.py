import pytest

from radishlift.core.ids import (
    Attempt,
    Incarnation,
    PartitionId,
    TaskId,
    WorkerId,
)
from radishlift.placement.jobs import JobKind, Resources, TaskState
from radishlift.placement.partition_tables import RecordRefusedError
from radishlift.placement.records import (
    GangMember,
    GangReserved,
    JobAccepted,
    JobHandedOff,
    TaskEnded,
    TaskPlaced,
    WorkerObserved,
)
from radishlift.placement.state import PartitionState
from tests.placement.builders import make_job, make_worker

HALF = Resources(15_000, 65_000)


def make_start(index: int, attempt: int = 1, worker: int = 1) -> TaskPlaced:
    return TaskPlaced(
        TaskId(f'j1/{index}'),
        Attempt(attempt),
        WorkerId(f'10.0.0.{worker}:9000'),
        Incarnation('i1'),
        HALF,
        1,
    )


@pytest.fixture
def state() -> PartitionState:
    filled = PartitionState()
    filled.apply(WorkerObserved(make_worker(1)))
    filled.apply(WorkerObserved(make_worker(2)))
    filled.apply(JobAccepted(make_job(task_count=9, demand=HALF), 0))
    return filled


def test_overcommitting_record_is_refused(state):
    """Guards against a faulty engine or journal that overcommits a worker."""
    state.apply(make_start(0))
    state.apply(make_start(1))
    with pytest.raises(RecordRefusedError, match='overcommitted'):
        state.apply(make_start(2))


def test_second_start_of_running_attempt_is_refused(state):
    """Guards against a task that runs on two workers."""
    state.apply(make_start(0))
    with pytest.raises(RecordRefusedError, match='another worker'):
        state.apply(make_start(0, worker=2))
    with pytest.raises(RecordRefusedError, match='has not ended'):
        state.apply(make_start(0, attempt=2, worker=2))


def test_repeated_records_change_nothing(state):
    """Guards against replay of rows that a snapshot already holds."""
    ended = TaskEnded(TaskId('j1/0'), Attempt(1), TaskState.queued, 'x')
    for record in (make_start(0), make_start(1), ended):
        state.apply(record)
        before = state.dump()
        state.apply(record)
        assert state.dump() == before
    state.apply(make_start(0))
    assert state.dump() == before


def test_snapshot_restores_committed_capacity(state):
    """Guards against committed capacity that is lost in a recovery."""
    state.apply(make_start(0))
    restored = PartitionState()
    restored.load(state.dump())
    assert restored.dump() == state.dump()
    restored.apply(make_start(1))
    with pytest.raises(RecordRefusedError, match='overcommitted'):
        restored.apply(make_start(2))


def test_job_accepted_after_its_hold_is_held_after_a_snapshot_too():
    """Guards against a replay that refuses a record that was applied before."""
    live = PartitionState()
    live.apply(WorkerObserved(make_worker(1)))
    gang = make_job(kind=JobKind.gang, demand=HALF)
    worker = make_worker(1)
    member = GangMember(
        TaskId('j1/0'),
        Attempt(1),
        worker.worker_id,
        worker.incarnation,
    )
    live.apply(GangReserved(gang, PartitionId('p2'), (member,), HALF, 1))
    live.apply(JobAccepted(gang, 0))
    restored = PartitionState()
    restored.load(live.dump())
    handed_off = JobHandedOff(gang.job_id, PartitionId('p2'))
    for tables in (live, restored):
        with pytest.raises(RecordRefusedError, match='still run here'):
            tables.apply(handed_off)
