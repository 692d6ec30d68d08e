"""Control cost of idle daemons, by the number of daemons.

CPU time and resident memory are read from the operating system. Relays between
the daemons, and between daemons and platform, count the bytes.
"""

import asyncio
import subprocess
import sys
import tempfile
from dataclasses import dataclass, replace
from pathlib import Path

import psutil

from benchmarks.harness import BENCHMARKS, Figure, at_most
from tests.system.cell import Cell
from tests.system.shapes import SHAPES

COUNTS = (3, 7, 14, 28)
WARM_UP_S = 8.0
MEASURE_S = 12.0
MEGABYTE = 1024 * 1024
LIBRARIES = 'aiohttp.web, cattrs, hdrh.histogram, loguru, msgpack, transitions'


@dataclass(frozen=True, slots=True)
class Cost:
    """Average cost of a daemon."""

    core_percent: float
    memory_mb: float
    bytes_per_s: float


def library_memory_mb() -> float:
    """Returns the memory of a process that only imports the libraries."""
    script = (
        f'import asyncio, {LIBRARIES}, os, psutil;'
        'print(psutil.Process(os.getpid()).memory_info().rss)'
    )
    printed = subprocess.run(
        [sys.executable, '-c', script],
        check=True,
        capture_output=True,
    ).stdout
    own = subprocess.run(
        [
            sys.executable,
            '-c',
            'import os, psutil;'
            'b=psutil.Process(os.getpid()).memory_info().rss;print(b)',
        ],
        check=True,
        capture_output=True,
    ).stdout
    bare = subprocess.Popen(
        [sys.executable, '-c', 'import time; time.sleep(30)'],
    )
    try:
        psutil.Process(bare.pid).cpu_percent(1)
        bare_bytes = psutil.Process(bare.pid).memory_info().rss
    finally:
        bare.kill()
        bare.wait()
    # The daemon does not use psutil.
    psutil_bytes = int(own) - bare_bytes
    return (int(printed) - psutil_bytes) / MEGABYTE


async def measure(daemons_count: int, hosts_count: int) -> Cost:
    """Measures daemons without user traffic."""
    shape = replace(
        SHAPES['rug_depot'],
        workers_count=hosts_count,
        executors_count=hosts_count,
    )
    with tempfile.TemporaryDirectory(prefix='radishlift-bench-') as folder:
        cell = Cell(Path(folder), (shape,), daemons_count)
        try:
            await cell.start()
            await asyncio.sleep(WARM_UP_S)
            processes = [
                psutil.Process(cell.processes.pid(name)) for name in cell.names
            ]
            before_s = sum(_cpu_s(process) for process in processes)
            before_bytes = _control_bytes(cell)
            await asyncio.sleep(MEASURE_S)
            cpu_s = sum(_cpu_s(process) for process in processes) - before_s
            sent_bytes = _control_bytes(cell) - before_bytes
            memory = sum(process.memory_info().rss for process in processes)
        finally:
            await cell.stop()
    total_s = MEASURE_S * daemons_count
    return Cost(
        100 * cpu_s / total_s,
        memory / daemons_count / MEGABYTE,
        sent_bytes / total_s,
    )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _control_bytes(cell: Cell) -> int:
    # A stream between two daemons counts for both.
    peers = 2 * sum(relay.bytes_count for relay in cell.peer_relays.values())
    return peers + sum(
        relay.bytes_count for relay in cell.store_relays.values()
    )


@BENCHMARKS.register('control')
def run_control() -> list[Figure]:
    """Measures the cost per daemon for several fleet sizes."""
    libraries_mb = library_memory_mb()
    figures = [Figure('control_libraries_memory_mb', libraries_mb)]
    for count in COUNTS:
        cost = asyncio.run(measure(count, 0))
        name = f'control_{count}_daemons'
        own_mb = cost.memory_mb - libraries_mb
        figures.extend(
            (
                Figure(f'{name}_core_percent', cost.core_percent, at_most(1.7)),
                Figure(f'{name}_memory_mb', own_mb, at_most(32)),
                Figure(f'{name}_bytes_per_s', cost.bytes_per_s, at_most(7000)),
            )
        )
    with_hosts = asyncio.run(measure(7, 24))
    figures.extend(
        (
            Figure(
                'control_7_daemons_24_hosts_core_percent',
                with_hosts.core_percent,
            ),
            Figure(
                'control_7_daemons_24_hosts_memory_mb',
                with_hosts.memory_mb - libraries_mb,
            ),
        )
    )
    return figures
