"""Measures the delay until task ends are detected and the cost of polls.

Each task that ends is replaced by another. Tasks of one name take either the
same time ("steady") or 0.2-5x of the declared time ("random"). The baseline
polls at a fixed interval only.
"""

import asyncio
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import product
from random import Random
from typing import Any, Final

from aiohttp import ClientSession

from benchmarks.harness import BENCHMARKS, Figure
from radishlift.core.clock import BootClock
from radishlift.core.ids import Attempt, Incarnation, TaskId, WorkerId
from radishlift.placement.jobs import WorkerInfo
from radishlift.workers.client import WorkerClient
from radishlift.workers.dispatcher import Dispatcher
from radishlift.workers.leases import PreviousOwners
from radishlift.workers.messages import AttemptKey, TaskToStart
from radishlift.workers.session import AttemptToRun, EndedAttempt
from radishlift.workers.settings import WorkerSettings
from tests.standins.conditions import until
from tests.standins.knowledge import unexpiring_host_knowledge

HOST: Final = '127.0.0.1'
BASE_PORT: Final = 23_000
WORKERS_COUNTS: Final = (24, 100, 400)
TASKS_PER_WORKER: Final = 5
DECLARED_MS: Final = (1_000, 2_000, 4_000, 8_000)
WARM_UP_S: Final = 6
MEASURE_S: Final = 8
SEED: Final = 1
FACTORS: Final = {'steady': ('1.3', '1.3'), 'random': ('0.2', '5.0')}
VARIANTS: Final = {
    'fixed': WorkerSettings(
        lease_ms=20_000,
        polls_per_s=100_000,
        end_polls_per_s=0,
    ),
    'paced': WorkerSettings(lease_ms=20_000),
}


@dataclass(slots=True)
class Refill:
    """Implements `WorkerEvents`; starts another task for each that ends."""

    random: Random = field(default_factory=lambda: Random(SEED))
    dispatcher: Dispatcher | None = None
    incarnations: dict[WorkerId, Incarnation] = field(default_factory=dict)
    seen_ms: dict[TaskId, float] = field(default_factory=dict)
    number: int = 0

    def __getattr__(self, name: str) -> Any:
        return lambda *_arguments, **_keywords: False

    def worker_seen(self, described: WorkerInfo) -> None:
        """Fills a worker when it is first seen."""
        self.incarnations[described.worker_id] = described.incarnation
        for _ in range(TASKS_PER_WORKER):
            self.start(described.worker_id)

    def attempt_ended(self, ended: EndedAttempt) -> None:
        """Records the time and starts another task on the same worker."""
        task_id = ended.key.task_id
        self.seen_ms[task_id] = time.monotonic() * 1000
        assert self.dispatcher is not None
        self.dispatcher.forget(ended.key)
        self.start(WorkerId(task_id.partition('/')[0]))

    def start(self, worker_id: WorkerId) -> None:
        """Starts a task of a random kind."""
        assert self.dispatcher is not None
        self.number += 1
        kind = self.random.randrange(len(DECLARED_MS))
        key = AttemptKey(TaskId(f'{worker_id}/{self.number}'), Attempt(1))
        task = TaskToStart(
            *(key.task_id, key.attempt, 10, 10, 0),
            DECLARED_MS[kind],
            f'kind{kind}',
        )
        incarnation = self.incarnations[worker_id]
        self.dispatcher.start_attempt(
            AttemptToRun(worker_id, incarnation, task)
        )


async def read_ends_ms(worker_ids: list[WorkerId]) -> dict[str, float]:
    """Reads from the stand-ins when each task actually ended."""
    ends_ms: dict[str, float] = {}
    async with ClientSession() as session:
        for worker_id in worker_ids:
            url = f'http://{worker_id}/admin/record'
            async with session.get(url) as answer:
                record = await answer.json()
            for execution in record['executions']:
                if execution['end_ms'] is not None:
                    ends_ms[execution['task_id']] = execution['end_ms']
    return ends_ms


@asynccontextmanager
async def open_workers(
    settings: WorkerSettings,
    worker_ids: list[WorkerId],
    factors: tuple[str, str],
) -> AsyncIterator[tuple[WorkerClient, Refill]]:
    """Runs stand-ins and a dispatcher that replaces each ended task."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, '-m', 'tests.standins.worker'),
        *('--listen-base', f'{HOST}:{BASE_PORT}'),
        *('--count', str(len(worker_ids))),
        *('--run-time-range', *factors),
    )
    client = WorkerClient(settings, unexpiring_host_knowledge())
    events = Refill()
    dispatcher = Dispatcher(
        client,
        settings,
        BootClock(),
        events,
        PreviousOwners(()),
    )
    events.dispatcher = dispatcher
    loop = asyncio.create_task(dispatcher.run_forever())
    dispatcher.set_workers(worker_ids, worker_ids)
    try:
        yield client, events
    finally:
        await close_all(dispatcher, loop, client, process)


async def close_all(
    dispatcher: Dispatcher,
    loop: asyncio.Task[None],
    client: WorkerClient,
    process: asyncio.subprocess.Process,
) -> None:
    """Stops the dispatcher first, so that it polls no stopped worker."""
    await dispatcher.stop()
    loop.cancel()
    await client.close()
    process.terminate()
    await process.wait()


async def measure(name: str, kind: str, workers_count: int) -> list[Figure]:
    """Measures one variant at a number of workers."""
    worker_ids = [
        WorkerId(f'{HOST}:{BASE_PORT + number}')
        for number in range(workers_count)
    ]
    partition = open_workers(VARIANTS[name], worker_ids, FACTORS[kind])
    async with partition as (client, events):
        await until(lambda: len(events.incarnations) == workers_count)
        await asyncio.sleep(WARM_UP_S)
        events.seen_ms.clear()
        started_s, started_cpu_s = time.monotonic(), time.process_time()
        calls_before_count = client.call_count
        await asyncio.sleep(MEASURE_S)
        passed_s = time.monotonic() - started_s
        cpu_s = time.process_time() - started_cpu_s
        calls = client.call_count - calls_before_count
        seen_ms = dict(events.seen_ms)
        ends_ms = await read_ends_ms(worker_ids)
    lags_ms = sorted(
        at_ms - ends_ms[task_id]
        for task_id, at_ms in seen_ms.items()
        if task_id in ends_ms
    )
    prefix = f'polls.{kind}.{name}.workers{workers_count}'
    return [
        Figure(f'{prefix}.end_lag_mean_ms', sum(lags_ms) / len(lags_ms)),
        Figure(f'{prefix}.end_lag_p99_ms', lags_ms[len(lags_ms) * 99 // 100]),
        Figure(f'{prefix}.ends_per_s', len(lags_ms) / passed_s),
        Figure(f'{prefix}.calls_per_s', calls / passed_s),
        Figure(f'{prefix}.core_percent', 100 * cpu_s / passed_s),
    ]


@BENCHMARKS.register('polls')
def run() -> list[Figure]:
    """Compares rate-limited polls with polls at a fixed interval."""
    figures: list[Figure] = []
    for kind, workers_count in product(FACTORS, WORKERS_COUNTS):
        for name in VARIANTS:
            figures.extend(asyncio.run(measure(name, kind, workers_count)))
    return figures


__all__ = ('run',)
