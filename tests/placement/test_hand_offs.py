"""Hand-offs of jobs whose partition has lost workers."""

from radishlift.config.document import ConfigDocument, Team
from radishlift.core.ids import ConfigVersion, JobId, PartitionId, TeamName
from radishlift.journal.records import decode_record, encode_record
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.hand_offs import MAX_HAND_OFFS
from radishlift.placement.jobs import JobKind, Resources, TaskState
from radishlift.placement.records import JobAccepted, JobHandedOff
from radishlift.placement.state import PartitionState
from radishlift.placement.transfer_rows import read_transfer
from radishlift.placement.transfers import JobTransfer
from tests.placement.builders import (
    find_starts,
    make_engine,
    make_job,
    make_worker,
)

HALF = Resources(15_000, 65_000)
HOME = PartitionId('p1')


def hand_off_ids(engine: PlacementEngine) -> list[str]:
    return [hand_off.job_id for hand_off in engine.list_hand_offs(10_000)]


def lose_worker(engine: PlacementEngine) -> None:
    worker = make_worker(1)
    engine.observe_worker_loss(worker.worker_id, worker.incarnation)
    engine.tick(2)


def lose_worker_of_started_job() -> tuple[PartitionState, PlacementEngine]:
    """Makes a job with task 0 finished, 1 and 2 requeued, 3 never started."""
    state, engine = make_engine(make_worker(1))
    engine.accept(make_job(task_count=4, demand=HALF), 0)
    engine.tick(0)
    engine.observe_task_end('j1/0', 1, TaskState.finished)
    engine.tick(1)
    lose_worker(engine)
    return state, engine


def test_started_job_is_handed_off_when_its_workers_are_lost():
    """Guards against a job that waits for ever for lost workers."""
    _, engine = lose_worker_of_started_job()
    assert hand_off_ids(engine) == ['j1']


def test_gang_is_handed_off_when_the_workers_left_are_too_few():
    """Guards against a gang that waits for ever for a lost worker."""
    _, engine = make_engine(make_worker(1), make_worker(2))
    engine.accept(make_job(kind=JobKind.gang, task_count=4, demand=HALF), 0)
    assert len(find_starts(engine.tick(0))) == 4
    lose_worker(engine)
    assert not hand_off_ids(engine)
    for index in range(4):
        engine.observe_task_end(f'j1/{index}', 1, TaskState.queued)
    engine.tick(3)
    assert hand_off_ids(engine) == ['j1']


def test_job_with_a_live_attempt_stays():
    """Guards against a job that runs in two partitions."""
    _, engine = make_engine(make_worker(1))
    engine.accept(make_job(task_count=4, demand=HALF), 0)
    engine.tick(0)
    worker = make_worker(1)
    engine.observe_worker_loss(
        worker.worker_id, worker.incarnation, may_run=True
    )
    engine.tick(1)
    assert not hand_off_ids(engine)


def test_hand_offs_of_a_job_are_bounded():
    """Guards against a job that is handed off without limit."""
    for passed_count, expected in (
        (MAX_HAND_OFFS - 2, ['j1']),
        (MAX_HAND_OFFS, []),
    ):
        passed = tuple(
            PartitionId(f'p{number}') for number in range(passed_count)
        )
        state, engine = make_engine()
        transfer = JobTransfer(passed)
        state.apply(JobAccepted(make_job(), 0, PartitionId('last'), transfer))
        engine.tick(0)
        assert hand_off_ids(engine) == expected


def test_receiver_continues_tasks_and_attempts():
    """Guards against finished tasks that run again, and reused attempts."""
    home, engine = lose_worker_of_started_job()
    row = home.tables.jobs.row_of[JobId('j1')]
    transfer = read_transfer(home.tables, row)
    home.apply(JobHandedOff(JobId('j1'), PartitionId('p2'), 9))
    assert not hand_off_ids(engine)
    assert home.tables.queued_count == 0
    state, receiver = make_engine(make_worker(3), make_worker(4))
    spec = make_job(task_count=4, demand=HALF)
    accepted = JobAccepted(spec, 0, HOME, transfer)
    state.apply(decode_record(encode_record(accepted)))
    assert state.tables.queued_count == 3
    starts = {
        start.task_id: start.attempt for start in find_starts(receiver.tick(10))
    }
    assert starts == {'j1/1': 2, 'j1/2': 2, 'j1/3': 1}
    row = state.tables.jobs.row_of[JobId('j1')]
    assert state.tables.jobs.ended_counts[row] == {TaskState.finished: 1}


def test_replay_and_snapshot_give_the_same_tables():
    """Guards against a new owner that loses the progress of a job."""
    home, _ = lose_worker_of_started_job()
    row = home.tables.jobs.row_of[JobId('j1')]
    spec = home.tables.jobs.spec[row]
    accepted = JobAccepted(spec, 0, HOME, read_transfer(home.tables, row))
    closed = JobHandedOff(JobId('j1'), PartitionId('p3'), 9)
    state = PartitionState()
    for record in (accepted, closed):
        state.apply(record)
        before = state.dump()
        state.apply(decode_record(encode_record(record)))
        assert state.dump() == before
        restored = PartitionState()
        restored.load(before)
        assert restored.dump() == before
        assert restored.tables.queued_count == state.tables.queued_count


def test_stored_data_of_earlier_versions_loads():
    """Guards against journals and snapshots that no owner can read."""
    name, fields = encode_record(JobAccepted(make_job(), 0, HOME))
    del fields['transfer']
    state = PartitionState()
    state.apply(decode_record([name, fields]))
    plain = state.dump()
    del plain['jobs'][0]['passed_partitions']
    restored = PartitionState()
    restored.load(plain)
    assert restored.dump() == state.dump()
    assert restored.tables.jobs.passed_partitions == [(HOME,)]


def test_job_that_waits_for_its_quota_stays():
    """Guards against hand-offs of jobs that wait for a quota of the cell."""
    _, engine = make_engine(make_worker(1))
    teams = {TeamName('wash'): Team('rugs', cpu_milli=1_000)}
    engine.apply_config(ConfigDocument(ConfigVersion(1), teams=teams))
    engine.quotas.use_shares({})
    engine.accept(make_job(), 0)
    engine.tick(0)
    assert not hand_off_ids(engine)
    lose_worker(engine)
    assert hand_off_ids(engine) == ['j1']
