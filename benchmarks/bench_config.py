"""Measures the speed and cost of distributing the configuration.

The bounds are the stated targets: in force on all daemons within 4 s, 75,000
changes a day, and for the whole control plane 1.7% of a core, 7 KB/s and 32 MB
per daemon. The measured costs are those of the configuration alone.
"""

import asyncio
import gc
import socket
import statistics
import time
import tracemalloc
from collections.abc import Awaitable, Callable

from benchmarks.documents import two_year_text
from benchmarks.harness import BENCHMARKS, Figure, at_least, at_most
from radishlift.config.changes import Change, ChangeAccepted
from radishlift.config.settings import ConfigSettings
from radishlift.core.ids import ConfigVersion, DaemonId
from tests.config.fleet import FleetDaemon, TestFleet
from tests.standins.tables import Fault

IN_FORCE_BOUND_MS = 4000
CHANGES_PER_DAY = 75_000
CHANGES_PER_S = CHANGES_PER_DAY / 86_400
CORE_BOUND_PERCENT = 1.7
BYTES_BOUND_PER_S = 7000
MEMORY_BOUND_MB = 32

CHANGES_COUNT = 40
PAIRS_COUNT = 8
BURST_COUNT = 100
COST_S = 12.0
SETTINGS = ConfigSettings()


def free_port() -> int:
    """Finds a free port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Bench:
    """A fleet with the two-year document, and changes of one team."""

    def __init__(self, fleet: TestFleet, text: str) -> None:
        self.fleet = fleet
        self.version = 0
        self._text = text
        self._polls: dict[DaemonId, asyncio.Task[None]] = {}

    async def change(self, daemon: FleetDaemon) -> None:
        """Makes a change of one team's quota through a daemon."""
        quota = 240_000 + self.version
        text = self._text.replace(
            'cpu_milli = 240000', f'cpu_milli = {quota}', 1
        )
        change = Change(text, ConfigVersion(self.version), 'bench', 'measure')
        outcome = await daemon.distributor.change(change)
        assert isinstance(outcome, ChangeAccepted), outcome
        self.version = outcome.version

    async def change_everywhere(self, daemon: FleetDaemon) -> float:
        """Returns the ms from sending a change until all daemons have it."""
        started_s = time.perf_counter()
        await self.change(daemon)
        await self.fleet.wait_until(lambda: self.fleet.all_have(self.version))
        return (time.perf_counter() - started_s) * 1000

    def start_polls(self, daemons: list[FleetDaemon]) -> None:
        """Starts the polls of daemons."""
        for daemon in daemons:
            poll = asyncio.create_task(daemon.distributor.run())
            self._polls[daemon.daemon_id] = poll

    def freeze(self, daemon: FleetDaemon) -> None:
        """Stops a daemon's polls and its handling of messages."""
        daemon.network.running.clear()
        self._polls[daemon.daemon_id].cancel()

    def resume(self, daemon: FleetDaemon) -> None:
        """Resumes a frozen daemon."""
        daemon.network.running.set()
        self.start_polls([daemon])

    async def stop(self) -> None:
        """Stops all daemons."""
        for poll in self._polls.values():
            poll.cancel()
        await asyncio.gather(*self._polls.values(), return_exceptions=True)
        await asyncio.gather(*(daemon.stop() for daemon in self.fleet.daemons))


Step = Callable[[Bench], Awaitable[list[Figure]]]


async def run_fleet(count: int, step: Step) -> list[Figure]:
    """Runs a measurement on a fleet of `count` daemons."""
    fleet = TestFleet(free_port, SETTINGS)
    for number in range(count):
        await fleet.add(f'd{number:02d}')
    bench = Bench(fleet, two_year_text())
    await bench.change_everywhere(fleet.daemons[0])
    bench.start_polls(fleet.daemons)
    try:
        return await step(bench)
    finally:
        await bench.stop()


def quantiles(name: str, times_ms: list[float]) -> list[Figure]:
    """Returns figures for p50 and p99 of times, bounded by the target."""
    cuts = statistics.quantiles(times_ms, n=100, method='inclusive')
    bound = at_most(IN_FORCE_BOUND_MS)
    return [
        Figure(f'config.{name}.p50_ms', cuts[49], bound),
        Figure(f'config.{name}.p99_ms', cuts[98], bound),
    ]


async def measure_in_force(bench: Bench) -> list[Figure]:
    """Measures the time until all daemons have a change."""
    daemons = bench.fleet.daemons
    times_ms = [
        await bench.change_everywhere(daemons[number % len(daemons)])
        for number in range(CHANGES_COUNT)
    ]
    return quantiles('in_force_7', times_ms)


async def measure_cut(bench: Bench) -> list[Figure]:
    """Measures the same while one daemon cannot reach the store."""
    daemons = bench.fleet.daemons
    daemons[-1].rows.fault = Fault.down
    times_ms = [
        await bench.change_everywhere(daemons[number % (len(daemons) - 1)])
        for number in range(CHANGES_COUNT)
    ]
    return quantiles('in_force_7_one_cut_from_store', times_ms)


async def measure_lost_pushes(bench: Bench) -> list[Figure]:
    """Measures distribution by polls alone: the acceptor reaches no peer."""
    acceptor = bench.fleet.daemons[0]
    bench.fleet.isolate(acceptor)
    times_ms = [
        await bench.change_everywhere(acceptor) for _ in range(PAIRS_COUNT)
    ]
    return quantiles('in_force_7_acceptor_cut_from_peers', times_ms)


async def measure_frozen(bench: Bench) -> list[Figure]:
    """Measures with one daemon frozen and one that cannot reach the store.

    Measures the time until the other daemons have a change, and the time from
    resuming the frozen daemon until it has the change too.
    """
    *others, frozen = bench.fleet.daemons
    without_store = others[-1]
    without_store.rows.fault = Fault.down
    acceptors = others[:-1]

    def all_have() -> bool:
        return bench.fleet.all_have(bench.version)

    def others_have() -> bool:
        return all(other.version == bench.version for other in others)

    others_ms: list[float] = []
    resumed_ms: list[float] = []
    for number in range(PAIRS_COUNT):
        bench.freeze(frozen)
        started_s = time.perf_counter()
        await bench.change(acceptors[number % len(acceptors)])
        await bench.fleet.wait_until(others_have)
        others_ms.append((time.perf_counter() - started_s) * 1000)
        assert frozen.version < bench.version
        started_s = time.perf_counter()
        bench.resume(frozen)
        await bench.fleet.wait_until(all_have)
        resumed_ms.append((time.perf_counter() - started_s) * 1000)
    return [
        *quantiles('in_force_6_one_cut_one_frozen', others_ms),
        *quantiles('in_force_after_resuming', resumed_ms),
    ]


async def measure_rate(bench: Bench) -> list[Figure]:
    """Measures changes/s, made one after the other through all daemons."""
    daemons = bench.fleet.daemons
    started_s = time.perf_counter()
    for number in range(BURST_COUNT):
        await bench.change(daemons[number % len(daemons)])
    await bench.fleet.wait_until(lambda: bench.fleet.all_have(bench.version))
    elapsed_s = time.perf_counter() - started_s
    rate = BURST_COUNT / elapsed_s
    return [Figure('config.changes_per_s', rate, at_least(CHANGES_PER_S))]


async def measure_cost(bench: Bench) -> list[Figure]:
    """Measures the cost per daemon at the target rate of changes.

    The processor time includes the stand-in tables and parsing the operator's
    text. It is divided by the number of daemons, which share one process.
    """
    daemons = bench.fleet.daemons
    count = len(daemons)
    before_bytes = sum(daemon.network.traffic_bytes for daemon in daemons)
    started_s = time.perf_counter()
    started_cpu_s = time.process_time()
    changed_count = 0
    elapsed_s: float = 0
    while elapsed_s < COST_S:
        elapsed_s = time.perf_counter() - started_s
        if changed_count < elapsed_s * CHANGES_PER_S:
            await bench.change(daemons[changed_count % count])
            changed_count += 1
        await asyncio.sleep(0.02)
    cpu_s = time.process_time() - started_cpu_s
    after_bytes = sum(daemon.network.traffic_bytes for daemon in daemons)
    per_s = (after_bytes - before_bytes) / elapsed_s / count
    percent = 100 * cpu_s / elapsed_s / count
    name = f'config.cost_{count}'
    return [
        Figure(f'{name}.core_percent', percent, at_most(CORE_BOUND_PERCENT)),
        Figure(f'{name}.bytes_per_s', per_s, at_most(BYTES_BOUND_PER_S)),
    ]


async def measure_memory() -> list[Figure]:
    """Measures the memory added per daemon by the two-year document."""
    gc.collect()
    tracemalloc.start()
    fleet = TestFleet(free_port, SETTINGS)
    for number in range(3):
        await fleet.add(f'd{number}')
    bench = Bench(fleet, two_year_text())
    for number in range(6):
        await bench.change_everywhere(fleet.daemons[number % 3])
    # The rows of the stand-in tables are not part of a daemon's memory.
    fleet.tables.clear()
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    snapshot = tracemalloc.take_snapshot()
    tracemalloc.stop()
    # The stream buffers are shared with all other modules.
    streams = tracemalloc.Filter(inclusive=False, filename_pattern='*/wire/*')
    traces = snapshot.filter_traces([streams]).statistics('filename')
    own_bytes = sum(trace.size for trace in traces)
    await bench.stop()
    name = 'config.memory_3'
    bound = at_most(MEMORY_BOUND_MB)
    return [
        Figure(f'{name}.held_mb', held_bytes / 3 / 2**20, bound),
        Figure(f'{name}.held_without_streams_mb', own_bytes / 3 / 2**20),
    ]


@BENCHMARKS.register('config')
def bench_config() -> list[Figure]:
    """Runs all measurements of the configuration."""
    steps: list[tuple[int, Step]] = [
        (7, measure_in_force),
        (7, measure_cut),
        (7, measure_lost_pushes),
        (7, measure_frozen),
        (7, measure_rate),
        *((count, measure_cost) for count in (3, 7, 14, 28)),
    ]
    figures: list[Figure] = []
    for count, step in steps:
        figures.extend(asyncio.run(run_fleet(count, step)))
    figures.extend(asyncio.run(measure_memory()))
    return figures
