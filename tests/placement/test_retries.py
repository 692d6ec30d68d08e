"""Bounds on the attempts of tasks that fail on any worker."""

from itertools import chain

import pytest

from radishlift.placement.engine import PlacementEngine
from radishlift.placement.explanations import ExplanationKind
from radishlift.placement.failures import retry_delay_ms
from radishlift.placement.jobs import JobKind, Resources, TaskState
from radishlift.placement.records import (
    JobAccepted,
    TaskEnded,
    WorkerQuarantined,
)
from radishlift.placement.settings import PlacementSettings
from radishlift.placement.state import PartitionState
from tests.placement.builders import (
    find_starts,
    make_engine,
    make_job,
    make_worker,
)

SETTINGS = PlacementSettings()
HOUR_MS = 3_600_000


def end_started_attempts(engine, now_ms, state=TaskState.failed):
    """Runs a tick, ends the started attempts with a state, returns them."""
    starts = find_starts(engine.tick(now_ms))
    for start in starts:
        engine.observe_task_end(start.task_id, start.attempt, state)
    return starts


def recover_engine(state):
    """Makes a state and an engine from a snapshot, as a new owner does."""
    copy = PartitionState()
    copy.load(state.dump())
    return copy, PlacementEngine(copy, timer=float)


@pytest.mark.parametrize('max_attempts', [1, 3, 5])
def test_always_failing_task_ends_after_its_attempts(max_attempts):
    """Guards against a task that is retried for ever, also over takeovers."""
    state, engine = make_engine(make_worker(1))
    engine.accept(make_job(max_attempts=max_attempts), 0)
    starts = []
    for step in range(12):
        starts += end_started_attempts(engine, step * HOUR_MS)
        engine.tick(step * HOUR_MS + 1)
        state, engine = recover_engine(state)
    assert len(starts) == max_attempts
    jobs = state.tables.jobs
    assert jobs.ended_counts[0] == {TaskState.failed: 1}
    explanation = engine.explain(starts[0].task_id, 0)
    assert (
        f'j1/0 failed for good in attempt {max_attempts}' in explanation.detail
    )


def test_delay_doubles_and_is_kept_by_a_new_owner():
    """Guards against retries without a pause after a takeover."""
    state, engine = make_engine(make_worker(1))
    engine.accept(make_job(max_attempts=5), 0)
    now_ms = 0
    delays = []
    for _ in range(4):
        assert end_started_attempts(engine, now_ms)
        engine.tick(now_ms)
        state, engine = recover_engine(state)
        explanation = engine.explain('j1/0', now_ms)
        assert explanation.kind is ExplanationKind.waits_for_retry
        retry_at_ms = state.tables.tasks.retry_at_ms[0]
        assert not find_starts(engine.tick(retry_at_ms - 1))
        delays.append(retry_at_ms - now_ms)
        now_ms = retry_at_ms
    for number, delay_ms in enumerate(delays):
        assert 500 << number <= delay_ms <= 1_000 << number


def test_jitter_spreads_and_the_delay_is_bounded():
    """Guards against tasks that failed together and all restart together."""
    delays = {retry_delay_ms(SETTINGS, 1, f'j/{n} 1') for n in range(100)}
    assert len(delays) > 50
    assert retry_delay_ms(SETTINGS, 1_000, 'j/0 1') <= 300_000


@pytest.mark.parametrize('state', [TaskState.cancelled, TaskState.queued])
def test_stops_and_expired_leases_do_not_count(state):
    """Guards against preempted or lost attempts that count as failures."""
    _, engine = make_engine(make_worker(1))
    engine.accept(make_job(max_attempts=2), 0)
    for step in range(20):
        assert end_started_attempts(engine, step, state)


def test_failures_at_quarantined_and_lost_workers_do_not_count():
    """Guards against failures of workers that count against a task."""
    worker = make_worker(1)
    state, engine = make_engine(worker, *(make_worker(n) for n in (2, 3, 4)))
    engine.accept(make_job(max_attempts=2), 0)
    start = find_starts(engine.tick(0))[0]
    engine._context.emit(
        WorkerQuarantined(start.worker_id, start.incarnation, 'x')
    )
    engine.observe_task_end(start.task_id, start.attempt, TaskState.failed)
    start = find_starts(engine.tick(1))[0]
    engine.observe_worker_loss(start.worker_id, start.incarnation)
    assert len(find_starts(engine.tick(2))) == 1
    assert state.tables.tasks.failed_on[0] == ()


def test_poison_jobs_do_not_run_for_ever_on_suspect_workers():
    """Guards against endless retries because all workers are suspect."""
    _, engine = make_engine(*(make_worker(n) for n in range(4)))
    for number in range(6):
        engine.accept(make_job(f'j{number}', task_count=4), 0)
    runs = [end_started_attempts(engine, step * HOUR_MS) for step in range(200)]
    starts = list(chain.from_iterable(runs))
    assert not runs[-1]
    assert len(starts) <= 24 * (3 + 17)


def test_gang_ends_as_a_whole_after_the_attempts_of_one_task():
    """Guards against a gang whose members fail in turn without limit."""
    state, engine = make_engine(make_worker(1))
    gang = make_job(kind=JobKind.gang, task_count=4, demand=Resources(1, 1))
    engine.accept(gang, 0)
    starts_count = 0
    for step in range(10):
        starts = find_starts(engine.tick(step * HOUR_MS))
        starts_count += len(starts)
        if not starts:
            break
        failing = starts[step % 4]
        engine.observe_task_end(
            failing.task_id, failing.attempt, TaskState.failed
        )
        engine.tick(step * HOUR_MS)
        for start in starts:
            stopped = TaskState.cancelled
            engine.observe_task_end(start.task_id, start.attempt, stopped)
        assert not find_starts(engine.tick(step * HOUR_MS))
    assert starts_count == 4 * 3
    assert state.tables.jobs.is_ended(0)
    counts = state.tables.jobs.ended_counts[0]
    assert counts == {TaskState.failed: 1, TaskState.cancelled: 3}


def test_cancelled_job_drops_its_delayed_tasks():
    """Guards against a delayed task that is left out of a cancellation."""
    state, engine = make_engine(make_worker(1))
    engine.accept(make_job(), 0)
    end_started_attempts(engine, 0)
    engine.tick(1)
    engine.cancel('j1')
    engine.tick(2)
    assert state.tables.jobs.is_ended(0)
    assert not find_starts(engine.tick(HOUR_MS))
    assert state.tables.queued_count == 0


def test_replay_of_records_gives_the_same_delays():
    """Guards against a new owner that computes different delays."""
    state, engine = make_engine(make_worker(1))
    copy = PartitionState()
    copy.load(state.dump())
    records = [engine.accept(make_job(), 0)]
    records += engine.tick(0)
    engine.observe_task_end('j1/0', 1, TaskState.failed)
    records += engine.tick(1)
    for record in records:
        copy.apply(record)
    assert any(isinstance(record, TaskEnded) for record in records)
    assert isinstance(records[0], JobAccepted)
    assert copy.dump()['tasks'] == state.dump()['tasks']
