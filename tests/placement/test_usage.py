import pytest

from radishlift.placement.estimates import MAX_NAMES_COUNT, UsageEstimates
from radishlift.placement.jobs import Priority, Resources, UsageReport
from radishlift.placement.orders import OrderKind
from tests.placement.builders import (
    find_only_start,
    find_starts,
    make_engine,
    make_job,
    make_worker,
)

SMALL = Resources(4_000, 8_000)
DECLARED = Resources(2_000, 4_000)


def report(task_id, cpu_milli, memory_mb, age_ms=0):
    usage = Resources(cpu_milli, memory_mb)
    return UsageReport(task_id, 1, usage, 1_000, age_ms)


def find_orders(engine, *reports):
    engine.pop_orders()
    engine.observe_usage(make_worker(1).worker_id, reports, 1)
    engine.tick(1)
    orders = engine.pop_orders()
    return [(order.kind, order.task_id) for order in orders]


@pytest.mark.parametrize(
    ('used', 'reserved'),
    [
        (Resources(450, 900), Resources(500, 1_024)),
        (Resources(3_000, 6_000), Resources(3_300, 6_656)),
        (Resources(9_000, 9_000), SMALL),
    ],
)
def test_reservation_follows_usage_but_fits_a_worker(used, reserved):
    """Guards against reserving declared sizes, off by a factor of 0.2-5."""
    _, engine = make_engine(make_worker(1, SMALL), make_worker(2, SMALL))
    engine.accept(make_job('first', demand=DECLARED), 0)
    start = find_only_start(engine.tick(0))
    for _ in range(10):
        usage = report('first/0', used.cpu_milli, used.memory_mb)
        engine.observe_usage(start.worker_id, [usage], 1)
        engine.tick(1)
    engine.accept(make_job('next', demand=DECLARED), 2)
    assert find_only_start(engine.tick(2)).reserved == reserved


def test_estimates_are_bounded():
    """Guards against memory that grows with the number of job names."""
    estimates = UsageEstimates()
    usage = Resources(500, 500)
    for number in range(MAX_NAMES_COUNT + 1):
        for _ in range(60):
            estimates.add(make_job(name=f'n{number}'), usage)
    oldest = make_job(name='n0')
    newest = make_job(name=f'n{MAX_NAMES_COUNT}')
    assert estimates.estimate_demand(oldest, SMALL) == oldest.demand
    assert estimates.estimate_demand(newest, SMALL).cpu_milli == 600


def test_usage_above_reservation_is_limited_by_priority():
    """Guards against low work that uses memory reserved for high work."""
    _, engine = make_engine(make_worker(1, SMALL))
    low = make_job('low', demand=DECLARED, priority=Priority.low)
    engine.accept(low, 0)
    high = make_job('high', demand=DECLARED, priority=Priority.high)
    engine.accept(high, 0)
    assert len(find_starts(engine.tick(0))) == 2
    within = report('high/0', 2_000, 4_000)
    assert not find_orders(engine, within, report('low/0', 2_000, 4_000))
    first = find_orders(engine, within, report('low/0', 2_500, 4_000))
    assert first == [(OrderKind.throttle, 'low/0')]
    excess = find_orders(
        engine,
        report('high/0', 2_000, 4_600),
        report('low/0', 2_500, 4_500),
    )
    assert excess == [
        (OrderKind.checkpoint, 'low/0'),
        (OrderKind.stop, 'low/0'),
        (OrderKind.checkpoint, 'high/0'),
    ]


def test_stale_reports_throttle_work_that_got_less_than_declared():
    _, engine = make_engine(make_worker(1, SMALL))
    engine.accept(make_job('first', demand=DECLARED), 0)
    engine.tick(0)
    for _ in range(10):
        assert not find_orders(engine, report('first/0', 500, 500))
    assert not find_orders(engine, report('first/0', 500, 500, 60_000))
    engine.accept(make_job('next', demand=DECLARED), 2)
    engine.tick(2)
    stale = find_orders(engine, report('next/0', 500, 500, 60_000))
    assert stale == [(OrderKind.throttle, 'next/0')]
