"""Measures times to start tasks and share messages at the two-year size.

Seven daemons in one process own 100 partitions and exchange shares of 550
teams over loopback streams. Workers are replaced by a dispatcher that ends
each task after its run time, so that only shares and journals take time.
"""

import asyncio
import time
from dataclasses import dataclass
from random import Random

from benchmarks.harness import BENCHMARKS, Figure, at_most
from radishlift.config.document import ConfigDocument, Partition, Team
from radishlift.core.ids import (
    Address,
    ConfigVersion,
    DataCentreId,
    Incarnation,
    PartitionId,
    RackId,
    ServiceName,
    TeamName,
    WorkerId,
)
from radishlift.partitions.job_commands import submit
from radishlift.partitions.parts import PartitionSettingsSet
from radishlift.placement.jobs import (
    Priority,
    Resources,
    TaskState,
    WorkerInfo,
)
from radishlift.quotas.messages import ShareHint, SyncShares
from radishlift.quotas.sync import ShareSync
from radishlift.services.api import Host, HostRole, HostState
from radishlift.workers.dispatcher import Dispatcher
from radishlift.workers.session import EndedAttempt
from tests.partitions.cell import Cell, make_job
from tests.partitions.owner import Owner

DAEMONS_COUNT = 7
PARTITIONS_COUNT = 100
TEAMS_COUNT = 550
QUOTA_TASKS = 8
TASK = Resources(1_000, 1_000)
PROBES_COUNT = 60
CHURN_S = 10.0
CHURN_STARTS_PER_S = 100
CHURN_RUN_MS = 2_000
STARTED: dict[str, float] = {}


class TimedDispatcher(Dispatcher):
    """Records when a start would be sent; ends tasks after their run time."""

    def set_workers(self, assigned, listed):
        """Contacts no worker."""

    def send_order(self, key, kind):
        """Sends nothing."""

    def forget(self, key):
        """Sends nothing."""

    def start_attempt(self, attempt_to_run):
        """Treats the start as sent."""
        STARTED[attempt_to_run.key.task_id] = time.perf_counter()
        if attempt_to_run.task.run_time_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(
                attempt_to_run.task.run_time_ms / 1000,
                self._end,
                attempt_to_run,
            )

    def _end(self, attempt_to_run):
        ended = EndedAttempt(attempt_to_run.key, TaskState.finished, 'finished')
        self._events.attempt_ended(ended)


@dataclass
class Traffic:
    """Counts messages about shares."""

    messages_count: int = 0

    def count(self, owner: Owner) -> None:
        """Counts the messages that a daemon sends."""
        network = owner.parts.network
        call, send = network.call, network.send

        async def counted_call(daemon_id, typed, timeout_ms):
            is_remote = daemon_id != owner.parts.daemon_id
            if is_remote and isinstance(typed, SyncShares):
                self.messages_count += 2
            return await call(daemon_id, typed, timeout_ms)

        async def counted_send(daemon_id, typed):
            if isinstance(typed, ShareHint):
                self.messages_count += 1
            return await send(daemon_id, typed)

        network.call = counted_call
        network.send = counted_send


class QuotaBench:
    """A cell with owners, teams and partitions."""

    def __init__(self) -> None:
        self.random = Random(1)
        self.traffic = Traffic()
        self.teams = [TeamName(f't{number}') for number in range(TEAMS_COUNT)]
        self.names = [
            PartitionId(f'p{number}') for number in range(PARTITIONS_COUNT)
        ]
        self.cell = Cell(PartitionSettingsSet())
        self.cell.document = ConfigDocument(
            ConfigVersion(1),
            partitions={
                name: Partition((f'rack-{name}',)) for name in self.names
            },
            teams={
                team: Team('rugs', cpu_milli=QUOTA_TASKS * TASK.cpu_milli)
                for team in self.teams
            },
        )
        self.cell.hosts = lambda: tuple(
            Host(
                Address(f'{name}:1'),
                HostState.live,
                HostRole.worker,
                RackId(f'rack-{name}'),
                DataCentreId('dc1'),
                ServiceName(''),
            )
            for name in self.names
        )
        self.jobs_count = 0

    async def open(self) -> None:
        """Starts the owners, which claim their partitions."""
        for number in range(DAEMONS_COUNT):
            await self.cell.add_owner(f'd{number}', TimedDispatcher)
        owners = list(self.cell.owners.values())
        for owner in owners:
            self.traffic.count(owner)
        self.owners = {}
        for number, name in enumerate(self.names):
            owner = owners[number % DAEMONS_COUNT]
            await owner.claim(name)
            self.owners[name] = owner
            worker = WorkerInfo(
                WorkerId(f'{name}:1'),
                Incarnation('i1'),
                RackId(f'rack-{name}'),
                DataCentreId('dc1'),
                Resources(10_000_000, 10_000_000),
            )
            owner.partition(name).worker_events.worker_seen(worker)

    async def start(self, name, team, run_time_ms=0) -> float:
        """Submits an urgent task; returns the time to its start in s."""
        self.jobs_count += 1
        job_id = f'{name}.{self.jobs_count}'
        job = make_job(
            job_id,
            team=team,
            demand=TASK,
            run_time_ms=run_time_ms,
            priority=Priority.urgent,
        )
        started_s = time.perf_counter()
        await submit(self.owners[name].partition(name), job, 10_000)
        async with asyncio.timeout(20):
            while f'{job_id}/0' not in STARTED:
                await asyncio.sleep(0.001)
        return STARTED[f'{job_id}/0'] - started_s

    def bytes_count(self) -> int:
        """Counts bytes received on all streams, each byte once."""
        return (
            sum(
                owner.parts.network.traffic_bytes
                for owner in self.cell.owners.values()
            )
            // 2
        )

    def unsynced_count(self) -> int:
        """Counts teams whose share is not synchronized with the home."""
        return sum(
            len(owner.partition(name).quota_shares.holder._unsynced)
            for name, owner in self.owners.items()
        )


def quantile_ms(samples_s, part) -> float:
    """Returns a quantile in ms."""
    ordered = sorted(samples_s)
    return 1000 * ordered[int(part * (len(ordered) - 1))]


async def measure() -> list[Figure]:
    """Measures registration, starts without a share, and steady churn."""
    bench = QuotaBench()
    await bench.open()
    for owner in bench.cell.owners.values():
        sync = ShareSync(
            owner.parts,
            owner.partitions,
            owner.lookup,
            owner.config,
        )
        owner.loops.append(asyncio.create_task(sync.run_forever()))
    started_s = time.perf_counter()
    async with asyncio.timeout(120):
        await asyncio.sleep(1)
        while bench.unsynced_count():
            await asyncio.sleep(0.05)
    figures = [
        Figure('quotas_registration_s', time.perf_counter() - started_s),
        Figure('quotas_registration_messages', bench.traffic.messages_count),
        Figure('quotas_registration_mb', bench.bytes_count() / 1e6),
    ]
    figures += await measure_idle(bench)
    figures += await measure_free(bench)
    figures += await measure_idle_elsewhere(bench)
    figures += await measure_churn(bench)
    await bench.cell.close()
    return figures


async def measure_idle(bench: QuotaBench) -> list[Figure]:
    """Counts messages when nothing waits and nothing ends."""
    before = bench.traffic.messages_count
    started_s = time.process_time()
    await asyncio.sleep(5)
    per_s = (bench.traffic.messages_count - before) / 5
    core_percent = 100 * (time.process_time() - started_s) / 5 / DAEMONS_COUNT
    return [
        Figure('quotas_rest_messages_per_s', per_s),
        Figure('quotas_rest_core_percent_with_idle_ticks', core_percent),
    ]


async def measure_free(bench: QuotaBench) -> list[Figure]:
    """Times starts of teams whose whole quota is free at the home."""
    samples = [
        await bench.start(bench.random.choice(bench.names), team)
        for team in bench.teams[:PROBES_COUNT]
    ]
    return [
        Figure('quotas_free_start_p50_ms', quantile_ms(samples, 0.5)),
        Figure(
            'quotas_free_start_p99_ms',
            quantile_ms(samples, 0.99),
            at_most(1_800),
        ),
    ]


async def measure_idle_elsewhere(bench: QuotaBench) -> list[Figure]:
    """Times starts of teams whose whole quota just ended elsewhere."""

    async def time_one(team) -> float:
        first, second = bench.random.sample(bench.names, 2)
        await asyncio.gather(
            *(bench.start(first, team, 500) for _ in range(QUOTA_TASKS))
        )
        await asyncio.sleep(0.6)
        return await bench.start(second, team)

    samples = await asyncio.gather(
        *(time_one(team) for team in bench.teams[100 : 100 + PROBES_COUNT])
    )
    return [
        Figure('quotas_idle_elsewhere_start_p50_ms', quantile_ms(samples, 0.5)),
        Figure(
            'quotas_idle_elsewhere_start_p99_ms',
            quantile_ms(samples, 0.99),
            at_most(1_800),
        ),
    ]


async def measure_churn(bench: QuotaBench) -> list[Figure]:
    """Counts messages and bytes while all teams start tasks anywhere."""
    places = {team: bench.random.sample(bench.names, 3) for team in bench.teams}
    running: set[asyncio.Task] = set()
    samples: list[float] = []
    messages, received = bench.traffic.messages_count, bench.bytes_count()
    started_s = time.perf_counter()
    while time.perf_counter() - started_s < CHURN_S:
        team = bench.random.choice(bench.teams[200:])
        name = bench.random.choice(places[team])
        task = asyncio.create_task(bench.start(name, team, CHURN_RUN_MS))
        running.add(task)
        await asyncio.sleep(1 / CHURN_STARTS_PER_S)
    elapsed_s = time.perf_counter() - started_s
    messages = bench.traffic.messages_count - messages
    received = bench.bytes_count() - received
    samples = await asyncio.gather(*running)
    per_daemon = received / elapsed_s / DAEMONS_COUNT
    return [
        Figure('quotas_churn_starts_per_s', len(samples) / elapsed_s),
        Figure('quotas_churn_start_p50_ms', quantile_ms(samples, 0.5)),
        Figure('quotas_churn_start_p99_ms', quantile_ms(samples, 0.99)),
        Figure(
            'quotas_churn_messages_per_s_per_daemon',
            messages / elapsed_s / DAEMONS_COUNT,
        ),
        Figure(
            'quotas_churn_kb_per_s_per_daemon_sent',
            per_daemon / 1000,
            at_most(7),
        ),
    ]


@BENCHMARKS.register('quotas')
def run() -> list[Figure]:
    """Runs the benchmark of team quotas."""
    STARTED.clear()
    return asyncio.run(measure())
