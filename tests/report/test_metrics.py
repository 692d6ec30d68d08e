import asyncio
import json
import random
from xml.etree import ElementTree

import pytest

from radishlift.config.document import ConfigDocument
from radishlift.core.clock import ManualClock
from radishlift.core.codec import dump_plain, parse_plain
from radishlift.core.ids import ConfigVersion, DaemonId
from radishlift.report.burn import BurnReport, burn_report
from radishlift.report.collector import MetricsCollector
from radishlift.report.exposition import metrics_samples
from radishlift.report.histograms import HistogramTable
from radishlift.report.messages import HistogramSnapshot, MetricsSnapshot
from radishlift.report.metrics import Indicator, MetricsTable
from radishlift.report.render import render_svg, render_table
from radishlift.report.samples import Sample, format_exposition
from radishlift.report.settings import ReportSettings
from radishlift.report.windows import (
    TICK_MS,
    WINDOWS,
    EventCount,
    WindowCounts,
)
from tests.config.documents import TEXT, make_document
from tests.config.fleet import TestFleet

SETTINGS = ReportSettings()


class FixedConfig:
    def __init__(self, document: ConfigDocument | None) -> None:
        self.document = document

    def current(self) -> ConfigDocument | None:
        return self.document


def make_table(clock, text: str = TEXT, **settings: int) -> MetricsTable:
    config = FixedConfig(make_document(text))
    return MetricsTable(config, ReportSettings(**settings), clock)


def observe(table, latencies_ms, *, is_ok: bool = True) -> None:
    for latency_ms in latencies_ms:
        table.observe('rugdesk', Indicator.latency, latency_ms, is_ok=is_ok)


@pytest.mark.parametrize('index', range(len(WINDOWS)))
def test_a_window_counts_what_is_inside_it(index):
    """Guards against old events that stay in a window, or lost new ones."""
    window = WINDOWS[index]
    rng = random.Random(7)
    clock_ms = 12_345
    counts = WindowCounts(clock_ms)
    events: list[tuple[int, bool]] = []
    for _ in range(2000):
        clock_ms += rng.randrange(window.slot_ms)
        if rng.randrange(500) == 0:
            clock_ms += 3 * window.length_ms
        events.append((clock_ms, rng.randrange(5) > 0))
        counts.record(clock_ms, is_good=events[-1][1])
        oldest = clock_ms // window.slot_ms - window.slots_count
        inside = [
            is_good for at, is_good in events if at // window.slot_ms > oldest
        ]
        if rng.randrange(3):
            expected = EventCount(sum(inside), len(inside))
            assert counts.counts(clock_ms)[index] == expected


def test_slot_length_is_a_multiple_of_the_tick_length():
    assert not any(window.slot_ms % TICK_MS for window in WINDOWS)


def test_burn_rates_and_budget_over_merged_daemons():
    """Guards against counts that are merged twice or not at all."""
    clock = ManualClock(10_000_000)
    tables = [make_table(clock) for _ in range(2)]
    observe(tables[0], (100,) * 97)
    observe(tables[0], (5000,) * 3)
    clock.advance(600_000)
    observe(tables[1], (100,) * 99)
    observe(tables[1], [100], is_ok=False)
    snapshots = [table.snapshot() for table in tables]
    line = burn_report(make_document(), snapshots).lines[0]
    assert line.department == 'rug-depot'
    five_minutes, hour, *_, days = line.windows
    assert (five_minutes.good, five_minutes.total) == (99, 100)
    assert five_minutes.burn_rate == pytest.approx(1)
    assert (hour.good, hour.total) == (196, 200)
    assert days.burn_rate == pytest.approx(2)
    assert line.budget_left_ratio == pytest.approx(-1)
    assert line.p50_ms == 100
    assert 4900 < line.p99_ms < 5100
    assert line.covered_ms == 600_000


def test_a_changed_limit_starts_new_counts_but_a_changed_ratio_does_not():
    """Guards against counts under an old limit that are used for a new one."""
    clock = ManualClock(10_000_000)
    table = make_table(clock)
    observe(table, [100])
    config = table._config
    config.document = make_document(TEXT.replace('0.99', '0.9'), 2)
    observe(table, [100])
    old = table.snapshot()
    assert old.objectives[0].windows[0].total == 2
    config.document = make_document(f'{TEXT}limit_ms = 50\n', 3)
    observe(table, [100])
    assert table.snapshot().objectives[0].windows[0] == EventCount(0, 1)
    report = burn_report(config.document, [old, table.snapshot()])
    assert report.lines[0].windows[0].total == 1


def test_histograms_are_bounded_in_number_and_range():
    """Guards against memory that grows with names sent by callers."""
    table = HistogramTable(2)
    for name in ('a', 'b', 'c'):
        table.record((name, 'latency'), 10**9)
    assert len(table.sorted_keys()) == 2
    assert table.dropped_count == 1
    assert table.quantile_ms(('a', 'latency'), 0.5) >= 3_580_000
    assert table.quantile_ms(('c', 'latency'), 0.5) is None


@pytest.mark.parametrize('encoded', ['', 'nonsense', 'SElT', 'é'])
def test_a_broken_histogram_of_a_peer_is_a_failure(encoded):
    table = HistogramTable(2)
    broken = HistogramSnapshot('a', 'latency', encoded)
    assert table.merge(broken).kind.value == 'bad_frame'


def test_snapshot_round_trips_through_the_codec():
    table = make_table(ManualClock(1))
    observe(table, range(1, 500))
    snapshot = table.snapshot()
    assert parse_plain(dump_plain(snapshot), MetricsSnapshot) == snapshot


def test_renderings_escape_names_and_show_missing_daemons():
    table = make_table(ManualClock(1))
    observe(table, [1, 5000])
    report = burn_report(
        make_document(), [table.snapshot()], [DaemonId('<gone>')]
    )
    text = render_table(report)
    assert 'no answer from: <gone>' in text
    assert '-4900.0%' in text
    assert json.loads(json.dumps(dump_plain(report)))['config_version'] == 1
    line = report.lines[0]
    escaped_report = BurnReport(
        1, (type(line)(*_with_name(line, '<b>&"')),), ()
    )
    tree = ElementTree.fromstring(render_svg(escaped_report))
    assert any('<b>&"' in (part.text or '') for part in tree)


def _with_name(line, name):
    return [
        name if member == 'objective' else getattr(line, member)
        for member in line.__slots__
    ]


def test_an_empty_report_can_be_drawn():
    report = burn_report(ConfigDocument(ConfigVersion(1)), [])
    assert render_table(report).startswith('department')
    ElementTree.fromstring(render_svg(report))


def test_exposition_escapes_labels():
    table = make_table(ManualClock(1))
    observe(table, [100, 200])
    text = format_exposition(
        [*metrics_samples(table), Sample('x', 1.5, {'a': 'b"\n\\'})]
    )
    assert 'radishlift_duration_ms_count{subject="rugdesk"' in text
    assert 'radishlift_burn_rate{objective="rugdesk-latency"' in text
    assert r'x{a="b\"\n\\"} 1.5' in text


async def test_metrics_are_collected_from_all_daemons(unused_tcp_port_factory):
    """Guards against a report that hides daemons that did not answer."""
    fleet = TestFleet(unused_tcp_port_factory)
    collectors = []
    for name in 'abc':
        daemon = await fleet.add(name)
        table = make_table(ManualClock(1))
        observe(table, (100,) * 10)
        collectors.append(
            MetricsCollector(
                table,
                table._config,
                daemon.network,
                fleet.directory,
                ReportSettings(peer_timeout_ms=300),
            )
        )
    report = await collectors[0].report()
    assert report.lines[0].windows[0].total == 30
    assert not report.missing
    fleet.daemons[2].network.running.clear()
    report = await collectors[0].report()
    assert report.lines[0].windows[0].total == 20
    assert report.missing == ('c',)
    collectors[0]._config.document = None
    assert (await collectors[0].report()).kind.value == 'no_configuration'
    await asyncio.gather(*(daemon.stop() for daemon in fleet.daemons))
