from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Attempt, JobId, TaskId
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.jobs import Priority, Resources, TaskState
from radishlift.placement.records import TaskEnded, TaskStopping
from radishlift.placement.state import PartitionState
from tests.placement.builders import (
    SteppingTimer,
    find_only_start,
    find_starts,
    make_engine,
    make_job,
    make_worker,
)

WHOLE_WORKER = Resources(30_000, 130_000)


def test_job_runs_to_its_end():
    """Guards against capacity that stays allocated after a task ended."""
    state, engine = make_engine(make_worker(1))
    engine.accept(make_job(demand=WHOLE_WORKER), 5)
    start = find_only_start(engine.tick(6))
    assert (start.task_id, start.attempt) == ('j1/0', 1)
    engine.accept(make_job('j2', demand=WHOLE_WORKER), 7)
    assert not find_starts(engine.tick(8))
    engine.observe_task_end(start.task_id, start.attempt, TaskState.finished)
    second = find_only_start(engine.tick(9))
    assert second.task_id == 'j2/0'
    assert state.tables.workers.free_cpu == [0]


def test_repeated_submission_is_one_job():
    """Guards against a retried submission that starts a second job."""
    _, engine = make_engine(make_worker(1))
    first = engine.accept(make_job(), 5)
    assert engine.accept(make_job(), 9) == first
    assert len(find_starts(engine.tick(10))) == 1
    refused = engine.accept(make_job(task_count=2), 11)
    assert isinstance(refused, Failure)
    assert refused.kind is ErrorKind.conflict


def test_cancelled_task_keeps_capacity_until_it_ended():
    """Guards against a second task on capacity that is still in use."""
    _, engine = make_engine(make_worker(1))
    engine.accept(make_job(demand=WHOLE_WORKER, task_count=3), 0)
    engine.tick(0)
    engine.accept(make_job('j2', demand=WHOLE_WORKER), 0)
    engine.cancel(JobId('j1'))
    records = engine.tick(1)
    assert any(isinstance(record, TaskStopping) for record in records)
    assert [order.task_id for order in engine.pop_orders()] == ['j1/0']
    assert not find_starts(records)
    engine.observe_task_end(TaskId('j1/0'), Attempt(1), TaskState.cancelled)
    assert [start.task_id for start in find_starts(engine.tick(2))] == ['j2/0']


def test_restarted_worker_frees_only_ended_attempts():
    """Guards against a task that is started twice after a restart."""
    _, engine = make_engine(make_worker(1))
    engine.accept(make_job(demand=WHOLE_WORKER), 0)
    engine.tick(0)
    engine.observe_worker(make_worker(1, incarnation='i2'))
    records = engine.tick(1)
    assert any(isinstance(record, TaskEnded) for record in records)
    start = find_only_start(records)
    assert (start.attempt, start.incarnation) == (2, 'i2')


def test_tasks_of_lost_worker_move():
    _, engine = make_engine(make_worker(1), make_worker(2))
    engine.accept(make_job(demand=WHOLE_WORKER), 0)
    start = find_only_start(engine.tick(0))
    engine.observe_worker_loss(start.worker_id, start.incarnation)
    moved = find_only_start(engine.tick(1))
    assert moved.worker_id != start.worker_id


def test_burst_of_cancellations_leaves_time_for_placement():
    """Guards against urgent work that waits for 10,000 cancellations."""
    timer = SteppingTimer(10)
    _, engine = make_engine(make_worker(1), timer=timer)
    for number in range(10_000):
        engine.accept(make_job(f'c{number}'), 0)
        engine.cancel(JobId(f'c{number}'))
    engine.accept(make_job('late'), 0)
    before_us = timer.now_us
    engine.tick(1)
    assert timer.now_us - before_us < 6_000
    ticks_count = 0
    while not engine.tick(1):
        ticks_count += 1
    assert ticks_count < 100


def test_urgent_work_precedes_a_burst_of_submissions():
    """Guards against urgent work that waits for 10,000 submissions."""
    timer = SteppingTimer(10)
    _, engine = make_engine(make_worker(1), timer=timer)
    for number in range(10_000):
        engine.accept(make_job(f'c{number}'), 0)
    engine.accept(make_job('urgent', priority=Priority.urgent), 0)
    before_us = timer.now_us
    starts = find_starts(engine.tick(1))
    assert timer.now_us - before_us < 6_000
    assert starts[0].task_id == 'urgent/0'


def test_stop_orders_are_repeated_after_recovery():
    """Guards against a stop that the previous owner journaled but not sent."""
    state, engine = make_engine(make_worker(1))
    engine.accept(make_job(), 0)
    engine.tick(0)
    engine.cancel(JobId('j1'))
    engine.tick(1)
    recovered = PartitionState()
    recovered.load(state.dump())
    orders = PlacementEngine(recovered).pop_orders()
    assert [order.task_id for order in orders] == ['j1/0']
