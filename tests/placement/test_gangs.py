from radishlift.core.ids import JobId
from radishlift.placement.jobs import JobKind, Priority, Resources, TaskState
from radishlift.placement.orders import OrderKind
from tests.placement.builders import (
    find_only_start,
    find_starts,
    make_engine,
    make_job,
    make_worker,
)

SMALL = Resources(4_000, 8_000)
HALF = Resources(2_000, 4_000)


def started_ids(records):
    return sorted(start.task_id for start in find_starts(records))


def end_attempt(engine, start, state=TaskState.finished):
    engine.observe_task_end(start.task_id, start.attempt, state)


def make_gang(job_id='gang', **changes):
    return make_job(job_id, kind=JobKind.gang, demand=HALF, **changes)


def test_gang_starts_whole_or_not_at_all():
    """Guards against a gang of which only some members start."""
    _, engine = make_engine(make_worker(1, SMALL), make_worker(2, SMALL))
    engine.accept(make_job('first', demand=HALF), 0)
    first = find_only_start(engine.tick(0))
    engine.accept(make_gang(task_count=4), 1)
    assert not find_starts(engine.tick(1))
    end_attempt(engine, first)
    assert len(find_starts(engine.tick(2))) == 4


def test_backfill_never_delays_a_reserved_start():
    """Guards against small work that delays a waiting gang."""
    _, engine = make_engine(make_worker(1, SMALL), make_worker(2, SMALL))
    engine.accept(make_job('first', demand=HALF, run_time_ms=100), 0)
    engine.tick(0)
    engine.accept(make_gang(task_count=4), 1)
    engine.tick(1)
    engine.tick(2)
    short = make_job('short', demand=HALF, run_time_ms=50)
    engine.accept(short, 3)
    engine.accept(make_job('long', demand=HALF, run_time_ms=500), 3)
    assert started_ids(engine.tick(3)) == ['short/0']
    # The short task overruns its declared time and is stopped at the start.
    engine.tick(101)
    orders = engine.pop_orders()
    assert [order.task_id for order in orders] == ['short/0']
    assert orders[0].kind is OrderKind.stop
    for task_id in ('first/0', 'short/0'):
        engine.observe_task_end(task_id, 1, TaskState.cancelled)
    assert started_ids(engine.tick(102)) == [f'gang/{n}' for n in range(4)]


def test_urgent_work_ignores_a_reservation():
    _, engine = make_engine(make_worker(1, SMALL), make_worker(2, SMALL))
    engine.accept(make_job('first', demand=HALF, run_time_ms=100), 0)
    engine.accept(make_gang(task_count=4), 1)
    engine.tick(1)
    engine.tick(2)
    urgent = make_job('urgent', demand=HALF, priority=Priority.urgent)
    engine.accept(urgent, 3)
    assert started_ids(engine.tick(3)) == ['urgent/0']


def test_gang_restarts_as_a_whole():
    """Guards against members that run on after one was lost."""
    _, engine = make_engine(make_worker(1, SMALL), make_worker(2, SMALL))
    engine.accept(make_gang(task_count=4), 0)
    starts = find_starts(engine.tick(0))
    end_attempt(engine, starts[0], TaskState.queued)
    assert not find_starts(engine.tick(1))
    assert len(engine.pop_orders()) == 3
    for start in starts[1:]:
        end_attempt(engine, start, TaskState.cancelled)
    again = find_starts(engine.tick(2))
    assert {start.attempt for start in again} == {2}
    assert len(again) == 4


def test_cancelled_gang_releases_its_reservation():
    """Guards against capacity reserved for a job that was cancelled."""
    _, engine = make_engine(make_worker(1, SMALL))
    engine.accept(make_job('first', demand=HALF, run_time_ms=100), 0)
    engine.tick(0)
    engine.accept(make_gang(task_count=2), 1)
    engine.tick(1)
    engine.tick(2)
    engine.accept(make_job('long', demand=HALF, run_time_ms=900), 3)
    assert not find_starts(engine.tick(3))
    engine.cancel(JobId('gang'))
    assert started_ids(engine.tick(4)) == ['long/0']


def test_gang_starts_again_when_its_last_member_finishes():
    """Guards against a queued member that never starts again.

    One member is queued again while the other still runs. When the other
    finishes, no attempt of the gang is live and the queued member must start.
    """
    _, engine = make_engine(make_worker(1, SMALL), make_worker(2, SMALL))
    engine.accept(make_gang(task_count=2), 0)
    first, second = find_starts(engine.tick(0))
    end_attempt(engine, first, TaskState.queued)
    engine.tick(1)
    end_attempt(engine, second)
    assert started_ids(engine.tick(2)) == [first.task_id]


def test_gang_that_fits_nowhere_does_not_block_smaller_ones():
    """Guards against gangs that wait for ever behind one of equal members."""
    _, engine = make_engine(make_worker(1, SMALL))
    engine.accept(make_gang('wide', task_count=4), 0)
    engine.accept(make_gang(task_count=2), 1)
    assert started_ids(engine.tick(1)) == ['gang/0', 'gang/1']


def test_smaller_gangs_do_not_delay_a_reserved_start():
    """Guards against a wide gang that waits for ever for smaller ones."""
    _, engine = make_engine(make_worker(1, SMALL), make_worker(2, SMALL))
    engine.accept(make_job('first', demand=HALF, run_time_ms=100), 0)
    first = find_only_start(engine.tick(0))
    engine.accept(make_gang('wide', task_count=4), 1)
    engine.tick(1)
    engine.tick(2)
    engine.accept(make_gang(task_count=2), 3)
    assert not find_starts(engine.tick(3))
    end_attempt(engine, first)
    assert started_ids(engine.tick(101)) == [f'wide/{n}' for n in range(4)]
