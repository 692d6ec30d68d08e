from radishlift.placement.jobs import Priority, Resources, TaskState
from tests.placement.builders import (
    find_only_start,
    find_starts,
    make_engine,
    make_job,
    make_worker,
)

SMALL = Resources(4_000, 8_000)
HALF = Resources(2_000, 4_000)


def make_urgent(job_id='urgent', **changes):
    return make_job(job_id, priority=Priority.urgent, **changes)


def test_urgent_work_starts_only_after_the_stop_ended():
    """Guards against a start on capacity that is still in use."""
    _, engine = make_engine(make_worker(1, SMALL))
    engine.accept(make_job('low', demand=HALF, priority=Priority.low), 0)
    engine.accept(make_job('normal', demand=HALF), 0)
    engine.tick(0)
    engine.accept(make_urgent(demand=HALF), 1)
    assert not find_starts(engine.tick(1))
    assert [order.task_id for order in engine.pop_orders()] == ['low/0']
    assert not find_starts(engine.tick(2))
    assert not engine.pop_orders()
    engine.observe_task_end('low/0', 1, TaskState.cancelled)
    assert find_only_start(engine.tick(3)).task_id == 'urgent/0'


def test_capacity_freed_for_urgent_work_is_not_used_by_others():
    """Guards against urgent work that waits while others use its capacity."""
    _, engine = make_engine(make_worker(1, SMALL))
    engine.accept(make_job('a', demand=HALF, task_count=2), 0)
    engine.tick(0)
    engine.accept(make_urgent(demand=SMALL), 1)
    engine.accept(make_job('other', demand=HALF), 1)
    engine.tick(1)
    engine.observe_task_end('a/0', 1, TaskState.cancelled)
    assert not find_starts(engine.tick(2))
    engine.observe_task_end('a/1', 1, TaskState.cancelled)
    assert find_only_start(engine.tick(3)).task_id == 'urgent/0'


def test_high_work_is_not_preempted():
    _, engine = make_engine(make_worker(1, SMALL))
    engine.accept(make_job('high', demand=SMALL, priority=Priority.high), 0)
    engine.tick(0)
    engine.accept(make_urgent(demand=HALF), 1)
    engine.tick(1)
    assert not engine.pop_orders()


def test_preempted_work_starts_again():
    _, engine = make_engine(make_worker(1, SMALL))
    engine.accept(make_job('low', demand=SMALL, priority=Priority.low), 0)
    engine.tick(0)
    engine.accept(make_urgent(demand=SMALL), 1)
    engine.tick(1)
    engine.observe_task_end('low/0', 1, TaskState.cancelled)
    urgent = find_only_start(engine.tick(2))
    engine.observe_task_end(urgent.task_id, urgent.attempt, TaskState.finished)
    again = find_only_start(engine.tick(3))
    assert (again.task_id, again.attempt) == ('low/0', 2)
