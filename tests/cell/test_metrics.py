"""Tests of counters and latencies."""

from radishlift.cell.metrics import CellMetrics, Operation
from radishlift.steps.endings import EndKind


def test_events_are_counted_by_outcome():
    metrics = CellMetrics()
    for how in (EndKind.done, EndKind.done, EndKind.failed):
        metrics.count_event('task_ended', 'INFO', {'task': 't', 'how': how})
    metrics.count_event('store_lost', 'WARNING', {})
    lines = metrics.render().splitlines()
    done = 'radishlift_events_total{event="task_ended",outcome="done"} 2'
    lost = 'radishlift_events_total{event="store_lost",outcome=""} 1'
    assert done in lines
    assert lost in lines


def test_latencies_are_shown_as_quantiles():
    metrics = CellMetrics()
    for duration_ms in (10, 20, 400):
        metrics.observe(Operation.submit, duration_ms)
    text = metrics.render()
    count = '{subject="submit",indicator="latency"} 3'
    assert f'radishlift_duration_ms_count{count}' in text
    assert 'quantile="0.99"' in text
