"""Usage estimates and worker health after a takeover, and their bounds."""

import pytest

from radishlift.placement.engine import PlacementEngine
from radishlift.placement.estimates import WINDOW_MS, UsageEstimates
from radishlift.placement.jobs import Resources, TaskState, UsageReport
from radishlift.placement.learned_statistics import (
    MAX_NAMES_COUNT,
    HealthLearned,
    LearnedStatistics,
    LearnedUsage,
    UsageLearned,
)
from radishlift.placement.state import PartitionState
from radishlift.placement.statistics_recording import (
    RECORD_INTERVAL_MS,
    USAGES_PER_RECORD_COUNT,
)
from tests.placement.builders import (
    find_starts,
    make_engine,
    make_job,
    make_worker,
)

LARGEST = Resources(30_000, 130_000)
USED = Resources(400, 900)


def report_usage(engine, now_ms=1):
    """Reports usage of a task until it has an estimate; returns the records."""
    engine.accept(make_job('first'), now_ms)
    records = engine.tick(now_ms)
    start = find_starts(records)[0]
    for _ in range(10):
        report = UsageReport(start.task_id, 1, USED, 1_000, 0)
        engine.observe_usage(start.worker_id, [report], now_ms)
        records += engine.tick(now_ms)
    return records


@pytest.mark.parametrize('by_snapshot', [False, True])
def test_estimates_outlive_a_takeover(by_snapshot):
    """Guards against a new owner that reserves declared sizes again."""
    state, engine = make_engine(make_worker(1))
    next_owner = PartitionState()
    next_owner.load(state.dump())
    records = [engine.accept(make_job('first'), 0)]
    records += report_usage(engine)
    records += engine.tick(2 * RECORD_INTERVAL_MS)
    if by_snapshot:
        next_owner.load(state.dump())
    else:
        for record in records:
            next_owner.apply(record)
    next_engine = PlacementEngine(next_owner, timer=float)
    next_engine.accept(make_job('next'), 0)
    start = find_starts(next_engine.tick(0))[-1]
    assert start.reserved == Resources(500, 1_024)


def test_health_outlives_a_takeover():
    """Guards against a new owner that treats a faulty worker as healthy."""
    state, engine = make_engine(*(make_worker(n) for n in range(8)))
    now_ms = 1
    for number in range(4):
        engine.accept(make_job(f'j{number}'), now_ms)
    for start in find_starts(engine.tick(now_ms)):
        engine.observe_task_end(start.task_id, start.attempt, TaskState.failed)
    engine.tick(now_ms)
    engine.tick(2 * RECORD_INTERVAL_MS)
    exported = engine._context.health.export(state.tables.workers)
    assert exported.failed_count == 4
    next_owner = PartitionState()
    next_owner.load(state.dump())
    restored = PlacementEngine(next_owner, timer=float)._context.health
    assert restored.export(next_owner.tables.workers) == exported
    row = next_owner.tables.workers.row_of[exported.workers[0].worker_id]
    assert (
        restored.get_or_add(row).streak_count
        == exported.workers[0].streak_count
    )


def test_records_are_infrequent_and_bounded():
    """Guards against a record for each report, or one of any size."""
    _, engine = make_engine(make_worker(1))
    records = report_usage(engine)
    records += engine.tick(RECORD_INTERVAL_MS - 1)
    kinds = (UsageLearned, HealthLearned)
    assert not any(isinstance(record, kinds) for record in records)
    estimates = UsageEstimates()
    for number in range(3 * USAGES_PER_RECORD_COUNT):
        for _ in range(10):
            estimates.add(make_job(name=f'n{number}'), USED)
    taken = [
        len(estimates.pop_changed(USAGES_PER_RECORD_COUNT)) for _ in range(4)
    ]
    assert taken == [
        USAGES_PER_RECORD_COUNT,
        USAGES_PER_RECORD_COUNT,
        USAGES_PER_RECORD_COUNT,
        0,
    ]


def test_outlier_has_no_effect_after_its_window():
    """Guards against an estimate that stays large after one outlier."""
    statistics = LearnedStatistics()
    estimates = UsageEstimates(statistics)
    job = make_job()
    for number in range(10):
        usage = Resources(20_000, 90_000) if number == 5 else USED
        estimates.add(job, usage, 0)
    assert estimates.estimate_demand(job, LARGEST).cpu_milli > 20_000
    statistics.apply(UsageLearned(estimates.pop_changed(9)))
    for _ in range(9):
        estimates.add(job, USED, WINDOW_MS)
    assert estimates.estimate_demand(job, LARGEST) == Resources(500, 1_024)
    statistics.apply(UsageLearned(estimates.pop_changed(9)))
    follower = UsageEstimates(statistics)
    assert follower.estimate_demand(job, LARGEST) == Resources(500, 1_024)


def test_learned_names_are_bounded():
    """Guards against a snapshot that grows with the number of names."""
    statistics = LearnedStatistics()
    for number in range(2 * MAX_NAMES_COUNT):
        usage = LearnedUsage('wash', f'n{number}', 1, 1)
        statistics.apply(UsageLearned((usage,)))
    assert len(statistics.usages) == MAX_NAMES_COUNT
