"""Takeover of running tasks, commit delay, and cost of polls.

Owners and workers of the first two measurements share one process and CPU; the
workers of the last one run in another process. The table service is in memory
and delays each commit by a fixed time.
"""

import asyncio
import sys
import time
from statistics import quantiles
from typing import Any, Final

from loguru import logger

from benchmarks.client_bytes import count_bytes
from benchmarks.harness import BENCHMARKS, Figure, at_least, at_most
from radishlift.core.clock import BootClock
from radishlift.core.ids import Attempt, Incarnation, JobId, TaskId, WorkerId
from radishlift.partitions.job_commands import submit
from radishlift.partitions.parts import PartitionSettingsSet
from radishlift.placement.jobs import Priority, Resources, task_id_of
from radishlift.placement.records import (
    JobAccepted,
    TaskPlaced,
    WorkerObserved,
)
from radishlift.workers.client import WorkerClient
from radishlift.workers.dispatcher import Dispatcher
from radishlift.workers.leases import PreviousOwners
from radishlift.workers.messages import TaskToStart, WorkerDescription
from radishlift.workers.session import AttemptToRun
from radishlift.workers.settings import WorkerSettings
from tests.partitions.cell import PARTITION, Cell, Owner, make_job
from tests.standins.conditions import until
from tests.standins.knowledge import unexpiring_host_knowledge
from tests.standins.tables import MemoryTableStore

TASK_COUNTS: Final = (1_000, 5_000, 20_000)
WORKERS: Final = 400
LOADED_WORKERS: Final = 24
# Within the allocation, so that no throttling orders are measured.
USAGE_RANGE: Final = (0.5, 1.0)
STARTS_PER_S: Final = 300
LOAD_S: Final = 3
URGENT_START_MS: Final = 1_800
COMMIT_DELAY_S: Final = 0.003
POLLED_WORKERS: Final = 24
TASKS_PER_WORKER: Final = 6
POLLS_PER_WORKER: Final = 20
STANDIN_BASE: Final = '127.0.0.1:28100'


class DelayedStore(MemoryTableStore):
    """A table service that delays commits."""

    async def commit(self, transaction: Any) -> Any:
        """Commits after the delay."""
        await asyncio.sleep(COMMIT_DELAY_S)
        return await super().commit(transaction)


def open_cell(workers: WorkerSettings) -> Cell:
    """Returns a cell with default settings except those of workers."""
    cell = Cell(PartitionSettingsSet(workers=workers))
    cell.store = DelayedStore()
    return cell


async def fill(cell: Cell, owner: Owner, tasks_count: int) -> None:
    """Writes running tasks to the journal and starts them on the workers."""
    runner = owner.partitions.get(PARTITION)
    assert runner is not None
    spec = make_job('p1.big', task_count=tasks_count, demand=Resources(10, 10))
    records: list[Any] = [JobAccepted(spec, 1)]
    for worker in cell.workers:
        described = await owner.parts.client.describe(
            WorkerId(worker.model.worker_id)
        )
        assert isinstance(described, WorkerDescription)
        records.append(WorkerObserved(described.as_info()))
    for number in range(tasks_count):
        model = cell.workers[number % len(cell.workers)].model
        task_id = task_id_of(spec.job_id, number)
        records.append(
            TaskPlaced(
                task_id,
                Attempt(1),
                WorkerId(model.worker_id),
                Incarnation(model.incarnation),
                spec.demand,
                1,
            )
        )
        task = TaskToStart(task_id, Attempt(1), 10, 10, 0, 0, spec.name)
        model.start(
            {
                'incarnation': model.incarnation,
                'lease_until_ms': model.clock_ms() + 10**7,
                'task': {name: getattr(task, name) for name in task.__slots__},
            }
        )
    # One commit, since between two the engine would place tasks itself.
    failure = await runner.commit(records, 120_000)
    assert failure is None, failure


async def measure_takeover(tasks_count: int) -> list[Figure]:
    """Measures the time from the claim of a new owner to its first start."""
    # The stand-ins share the CPU, so they report less often.
    cell = open_cell(WorkerSettings(lease_ms=20_000, report_interval_ms=5_000))
    for _ in range(WORKERS):
        await cell.add_worker(usage_range=USAGE_RANGE)
    first = await cell.add_owner('a')
    # The first owner must not poll: its tasks are started directly.
    first.partitions.update_hosts(())
    await first.claim()
    await fill(cell, first, tasks_count)
    await first.kill()
    cell.members.dead.add(('a', 'a-1'))
    new_owner = await cell.add_owner('b')
    begin_s = time.perf_counter()
    await new_owner.claim()
    recovered_s = time.perf_counter()
    partition = new_owner.partition()
    urgent = make_job('p1.urgent', priority=Priority.urgent)
    await submit(partition, urgent, 60_000)
    await until(lambda: cell.executions() > tasks_count)
    placed_s = time.perf_counter()
    sessions = partition.dispatcher._sessions
    await until(
        lambda: all(
            live.is_confirmed
            for session in sessions.values()
            for live in session.attempts.values()
        )
    )
    found_s = time.perf_counter()
    found_count = sum(len(session.attempts) for session in sessions.values())
    cell.check()
    await cell.close()
    name = f'recovery_{tasks_count}_tasks'
    return [
        Figure(f'{name}_recovered_ms', (recovered_s - begin_s) * 1000),
        Figure(f'{name}_placing_again_ms', (placed_s - begin_s) * 1000),
        Figure(f'{name}_all_confirmed_ms', (found_s - begin_s) * 1000),
        Figure(
            f'{name}_found_again_count',
            found_count - 1,
            at_least(tasks_count),
        ),
    ]


async def measure_commit_waiting() -> list[Figure]:
    """Measures the delay of starts by the journal at a constant rate."""
    cell = open_cell(WorkerSettings())
    for _ in range(LOADED_WORKERS):
        await cell.add_worker(usage_range=USAGE_RANGE)
    owner = await cell.add_owner('a')
    await owner.claim()
    partition = owner.partition()
    waits_ms: list[float] = []
    after_last = partition.log.run_when_durable

    def timed(effect: Any) -> None:
        begin_s = time.perf_counter()

        def record_wait() -> None:
            waits_ms.append((time.perf_counter() - begin_s) * 1000)
            effect()

        after_last(record_wait)

    partition.log.run_when_durable = timed  # type: ignore[method-assign]
    submitted_ms: dict[str, float] = {}
    pending = []
    begin_s = time.perf_counter()
    for number in range(STARTS_PER_S * LOAD_S):
        job = make_job(
            f'p1.{number}',
            run_time_ms=100,
            priority=Priority.urgent if number % 20 == 0 else Priority.normal,
        )
        submitted_ms[job.job_id] = time.monotonic() * 1000
        pending.append(asyncio.create_task(submit(partition, job, 60_000)))
        due_s = begin_s + number / STARTS_PER_S
        await asyncio.sleep(max(0, due_s - time.perf_counter()))
    await asyncio.gather(*pending)
    await until(lambda: cell.executions() == STARTS_PER_S * LOAD_S)
    starts_ms = [
        execution.start_ms - submitted_ms[execution.task_id.rpartition('/')[0]]
        for record in cell.records()
        for execution in record.executions
    ]
    cell.check()
    await cell.close()
    return [
        Figure('commit_waiting_p99_ms', quantiles(waits_ms, n=100)[98]),
        Figure(
            'submit_to_start_p99_ms',
            quantiles(starts_ms, n=100)[98],
            at_most(URGENT_START_MS),
        ),
    ]


class EventCounter:
    """Ignores worker events except to count the observed workers."""

    def __init__(self) -> None:
        self.workers_count = 0

    def __getattr__(self, name: str) -> Any:
        return lambda *arguments: False

    def worker_seen(self, _described: Any) -> None:
        """Counts a worker."""
        self.workers_count += 1


async def measure_polls() -> list[Figure]:
    """Measures CPU time and bytes of polls with renewals."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *('-m', 'tests.standins.worker', '--listen-base', STANDIN_BASE),
        *('--count', str(POLLED_WORKERS)),
    )
    # With a lease of four intervals, every poll renews it.
    settings = WorkerSettings(lease_ms=2_000, report_interval_ms=500)
    client = WorkerClient(settings, unexpiring_host_knowledge())
    wire_bytes = count_bytes(client)
    events = EventCounter()
    dispatcher = Dispatcher(
        client, settings, BootClock(), events, PreviousOwners(())
    )
    host, _, base = STANDIN_BASE.rpartition(':')
    ids = [
        WorkerId(f'{host}:{int(base) + number}')
        for number in range(POLLED_WORKERS)
    ]
    dispatcher.set_workers(ids, ids)
    loop = asyncio.create_task(dispatcher.run_forever())
    await until(lambda: events.workers_count >= POLLED_WORKERS)
    for worker_id in ids:
        described = await client.describe(worker_id)
        assert isinstance(described, WorkerDescription)
        for number in range(TASKS_PER_WORKER):
            task_id = TaskId(f'{JobId("p1.job")}/{worker_id}{number}')
            task = TaskToStart(task_id, Attempt(1), 10, 10, 0, 0, 'wash')
            attempt_to_run = AttemptToRun(
                worker_id, described.incarnation, task
            )
            dispatcher.start_attempt(attempt_to_run)
    await until(
        lambda: all(
            live.is_confirmed
            for session in dispatcher._sessions.values()
            for live in session.attempts.values()
        )
    )
    begin_calls, begin_bytes = client.call_count, sum(wire_bytes)
    begin_s = time.process_time()
    # Each poll is one report and one renewal.
    calls = 2 * POLLED_WORKERS * POLLS_PER_WORKER
    await until(lambda: client.call_count - begin_calls >= calls)
    cpu_ms = (time.process_time() - begin_s) * 1000
    polls = (client.call_count - begin_calls) / 2
    sent_bytes = sum(wire_bytes) - begin_bytes
    await dispatcher.stop()
    loop.cancel()
    await client.close()
    process.terminate()
    await process.wait()
    return [
        Figure('poll_and_renewal_cpu_ms', cpu_ms / polls),
        Figure('poll_and_renewal_bytes', sent_bytes / polls),
    ]


@BENCHMARKS.register('recovery')
def run_recovery() -> list[Figure]:
    """Runs all measurements."""
    logger.disable('radishlift')
    figures: list[Figure] = []
    for tasks_count in TASK_COUNTS:
        figures.extend(asyncio.run(measure_takeover(tasks_count)))
    figures.extend(asyncio.run(measure_commit_waiting()))
    figures.extend(asyncio.run(measure_polls()))
    return figures
