"""Runs one deployment on loopback and prints a table of the results.

`make demo` starts 7 daemons and the stand-ins, sends mixed requests and jobs,
kills a daemon half-way and checks the invariants against the stand-ins'
records. Exits with 0 only if all of them hold.
"""

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path

from tests.system.cell import Cell
from tests.system.invariants import Evidence, check_all, count_outcomes
from tests.system.measures import packing_ratio, percentile, waiting_times_ms
from tests.system.shapes import SHAPES
from tests.system.traffic import (
    LoadOptions,
    collect_evidence,
    send_traffic,
    unfinished_jobs,
)

KILLED_DAEMON = 'd3'
PRIORITIES = ('urgent', 'high', 'normal', 'low')
OPTIONS = LoadOptions(
    requests_per_s=200,
    jobs_per_s=12,
    duration_ms=16_000,
    seed=7,
)


def waiting_rows(evidence: Evidence) -> list[tuple[str, int]]:
    """Returns the 99th percentile of the waiting times of each priority."""
    rows = []
    for priority in PRIORITIES:
        waits_ms = waiting_times_ms(
            evidence.workers,
            evidence.results,
            priority,
        )
        p99_ms = round(percentile(waits_ms, 99))
        rows.append((f'waiting p99 ms, {priority} jobs', p99_ms))
    return rows


def latency_rows(evidence: Evidence) -> list[tuple[str, int]]:
    """Returns the 99th percentile of the latency of each request class."""
    histograms = evidence.results[0].class_latency_ms
    return [
        (f'latency p99 ms, {name}', histogram.get_value_at_percentile(99))
        for name, histogram in sorted(histograms.items())
    ]


def show(evidence: Evidence, violations: dict[str, list[str]]) -> None:
    """Prints the results as a table, then the violated invariants."""
    outcomes = count_outcomes(evidence.results)
    waits_ms = waiting_times_ms(evidence.workers, evidence.results)
    latency = evidence.results[0].latency_ms
    unknown = outcomes['unknown'] + outcomes['broken'] + outcomes['ran']
    starts = sum(len(record.executions) for record in evidence.workers)
    rows = (
        ('requests answered', outcomes['answered']),
        ('requests refused, not run', outcomes['not_run']),
        (f'outcome unknown (at the killed {KILLED_DAEMON})', unknown),
        ('jobs accepted', outcomes['job_accepted']),
        ('jobs refused', outcomes['job_refused']),
        ('tasks started', starts),
        ('lost', len(violations.get('nothing_accepted_is_lost', ()))),
        ('doubled', len(violations.get('keyed_requests_at_most_once', ()))),
        ('latency p50 ms', latency.get_value_at_percentile(50)),
        ('latency p99 ms', latency.get_value_at_percentile(99)),
        ('waiting p50 ms', round(percentile(waits_ms, 50))),
        ('waiting p99 ms', round(percentile(waits_ms, 99))),
        *waiting_rows(evidence),
        *latency_rows(evidence),
        ('packing of workers in use', f'{packing_ratio(evidence.workers):.2f}'),
    )
    for name, number in rows:
        print(f'{name:40} {number:>10}')
    for name, texts in violations.items():
        print(f'VIOLATED {name}: {texts[:3]} ({len(texts)} in all)')


async def run(department: str) -> int:
    """Runs the demo; returns the exit status."""
    folder = Path(tempfile.mkdtemp(prefix='radishlift-demo-'))
    cell = Cell(folder, (SHAPES[department],))
    started_s = time.monotonic()

    async def kill_daemon_midway() -> None:
        await asyncio.sleep(OPTIONS.duration_ms / 2000)
        await cell.kill_daemon(KILLED_DAEMON)
        print(f'killed {KILLED_DAEMON}')

    try:
        await cell.start()
        print(f'{department}: 7 daemons ready; logs are in {folder / "logs"}')
        results = await send_traffic(cell, OPTIONS, kill_daemon_midway)
        open_jobs = await unfinished_jobs(cell, results, timeout_s=20)
        evidence = await collect_evidence(
            cell, results, open_jobs, [KILLED_DAEMON]
        )
    finally:
        await cell.stop()
    violations = check_all(evidence)
    show(evidence, violations)
    print(f'{time.monotonic() - started_s:.0f} s')
    return 1 if violations else 0


def main() -> int:
    """Runs the demo for the department on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('department', nargs='?', default='rug_depot')
    return asyncio.run(run(parser.parse_args().department))


if __name__ == '__main__':
    sys.exit(main())
