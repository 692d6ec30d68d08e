"""Row rate, commit delay, size and recovery time of the journal.

The flushes for 4,500 starts/s run in simulated time with the real journals and
flush schedulers, excluding the time of the store. Recovery runs in real time.
"""

import asyncio
import json
import random
import time
from statistics import quantiles
from typing import Any, Final

from loguru import logger

from benchmarks.harness import BENCHMARKS, Figure, at_most
from radishlift.core.clock import ManualClock
from radishlift.core.ids import (
    Attempt,
    Epoch,
    Incarnation,
    JobId,
    PartitionId,
    Sequence,
    WorkerId,
)
from radishlift.journal.budget import FlushScheduler
from radishlift.journal.partition_journal import PartitionJournal
from radishlift.journal.records import encode_record
from radishlift.journal.recovery import RecoveryResult, recover
from radishlift.journal.settings import JournalSettings
from radishlift.ownership.api import OWNERS_TABLE, OwnerClaim
from radishlift.placement.jobs import Resources, TaskState, task_id_of
from radishlift.placement.records import TaskEnded, TaskPlaced
from radishlift.services.api import Transaction, Write
from tests.standins.tables import MemoryObjectStore, MemoryTableStore

OWNERS: Final = 7
PARTITIONS: Final = 70
STARTS_PER_S: Final = 4500
URGENT_RATIO: Final = 0.05
SIMULATED_MS: Final = 4000
MAX_ROWS_PER_S: Final = 300
URGENT_WAITING_MS: Final = 1800


def start_record(number: int) -> TaskPlaced:
    """Returns the record of a task start."""
    return TaskPlaced(
        task_id_of(JobId(f'p{number % PARTITIONS}.{number:010x}'), 0),
        Attempt(1),
        WorkerId(f'10.20.{number % 250}.{number % 249}:9000'),
        Incarnation('6f1d2c3b4a59'),
        Resources(2000, 4096),
        1_800_000_000_000 + number,
    )


def end_record(number: int) -> TaskEnded:
    """Returns the record of a task end."""
    task_id = start_record(number).task_id
    return TaskEnded(task_id, Attempt(1), TaskState.finished, '')


class LastTaskRecords:
    """A state that keeps the last record of each task."""

    record_types = (TaskPlaced, TaskEnded)

    def __init__(self) -> None:
        self.last: dict[str, object] = {}

    def apply(self, record: Any) -> None:
        """Stores a record as the last one of its task."""
        self.last[record.task_id] = record

    def dump(self) -> Any:
        """Not needed here."""

    def load(self, plain: Any) -> None:
        """Not needed here."""


def open_journal(store: MemoryTableStore, name: str) -> PartitionJournal:
    """Claims a partition and opens its empty journal."""
    partition_id = PartitionId(name)
    written = store.tables.commit(
        Transaction((), (Write(OWNERS_TABLE, name, {'epoch': 1}),)),
    )
    claim = OwnerClaim(partition_id, Epoch(1), written.versions[0])
    empty = RecoveryResult(Sequence(1), Sequence(0), 0, 0)
    return PartitionJournal(store, claim, empty, JournalSettings())


class Simulation:
    """Owners that journal starts and ends, one millisecond at a time."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.random = random.Random(7)
        self.store = MemoryTableStore()
        self.schedulers = [
            FlushScheduler(self.clock, JournalSettings()) for _ in range(OWNERS)
        ]
        self.journals: dict[PartitionId, PartitionJournal] = {}
        self.waiting: dict[PartitionId, list[tuple[int, bool]]] = {}
        for number in range(PARTITIONS):
            name = PartitionId(f'p{number}')
            self.journals[name] = open_journal(self.store, name)
            self.schedulers[number % OWNERS].add(name)
            self.waiting[name] = []
        self.normal_ms: list[int] = []
        self.urgent_ms: list[int] = []
        self.rows = 0
        self.starts = 0

    async def run(self) -> None:
        """Runs the simulation."""
        for now_ms in range(1, SIMULATED_MS + 1):
            self.clock.advance(1)
            while self.starts < now_ms * STARTS_PER_S // 1000:
                self.starts += 1
                self._start(self.starts)
            for scheduler in self.schedulers:
                await self._flush(scheduler)

    def _start(self, number: int) -> None:
        index = self.random.randrange(PARTITIONS)
        name = PartitionId(f'p{index}')
        is_urgent = self.random.random() < URGENT_RATIO
        self.journals[name].append(start_record(number))
        self.journals[name].append(end_record(max(1, number - PARTITIONS)))
        self.waiting[name].append((self.clock.now_ms, is_urgent))
        scheduler = self.schedulers[index % OWNERS]
        scheduler.request(name, is_urgent=is_urgent)

    async def _flush(self, scheduler: FlushScheduler) -> None:
        for name in iter(scheduler.next_due, None):
            flushed = await self.journals[name].flush()
            self.rows += flushed.rows_count
            for appended_ms, is_urgent in self.waiting[name]:
                waits = self.urgent_ms if is_urgent else self.normal_ms
                waits.append(self.clock.now_ms - appended_ms)
            self.waiting[name] = []


def percentile(values: list[int], rank: int) -> float:
    """Returns the percentile `rank` of the values."""
    return quantiles(values, n=100)[rank - 1]


@BENCHMARKS.register('journal')
def bench_journal() -> list[Figure]:
    """Measures rows, delays and sizes of the group commit, and recovery."""
    logger.remove()
    simulation = Simulation()
    started_s = time.process_time()
    asyncio.run(simulation.run())
    cpu_s = time.process_time() - started_s
    starts = simulation.starts
    rows_per_s = simulation.rows * 1000 / SIMULATED_MS
    urgent_p99_ms = percentile(simulation.urgent_ms, 99)
    figures = [
        Figure('journal_rows_per_s', rows_per_s, at_most(MAX_ROWS_PER_S)),
        Figure('journal_starts_per_s', starts * 1000 / SIMULATED_MS),
        Figure('journal_waiting_p50_ms', percentile(simulation.normal_ms, 50)),
        Figure('journal_waiting_p99_ms', percentile(simulation.normal_ms, 99)),
        Figure(
            'journal_urgent_waiting_p99_ms',
            urgent_p99_ms,
            at_most(URGENT_WAITING_MS),
        ),
        Figure('journal_cpu_per_start_us', cpu_s * 1e6 / starts),
        Figure('journal_record_bytes', record_bytes()),
        Figure('journal_row_bytes', row_bytes(simulation.store)),
    ]
    return figures + recovery_figures()


def record_bytes() -> float:
    """Returns the mean stored size of a start and an end record."""
    stored = [encode_record(start_record(1)), encode_record(end_record(1))]
    return len(json.dumps(stored, separators=(',', ':'))) / 2


def row_bytes(store: MemoryTableStore) -> float:
    """Returns the mean stored size of a row."""
    rows = store.tables.scan('journal', '', '', 10_000)
    sizes = [len(json.dumps(row.value)) for row in rows]
    return sum(sizes) / len(sizes)


def recovery_figures() -> list[Figure]:
    """Measures recovery from memory, excluding the time of the store."""
    times_ms = {count: recovery_ms(count) for count in (1000, 10_000, 50_000)}
    figures = [
        Figure(f'recovery_{count}_records_ms', took_ms)
        for count, took_ms in times_ms.items()
    ]
    slope_us = (times_ms[50_000] - times_ms[1000]) * 1000 / 49_000
    return [*figures, Figure('recovery_per_record_us', slope_us)]


def recovery_ms(records_count: int) -> float:
    """Returns the shortest of three recovery times of a journal."""
    store = MemoryTableStore()
    journal = open_journal(store, 'p0')

    async def fill() -> None:
        for number in range(records_count // 2):
            journal.append(start_record(number))
            journal.append(end_record(number))
            if number % 16 == 0:
                await journal.flush()
        await journal.flush()

    async def once() -> float:
        started_s = time.perf_counter()
        outcome = await recover(
            store, MemoryObjectStore(), PartitionId('p0'), [LastTaskRecords()]
        )
        took_s = time.perf_counter() - started_s
        assert isinstance(outcome, RecoveryResult)
        assert outcome.records_count == records_count
        return took_s * 1000

    asyncio.run(fill())
    return min(asyncio.run(once()) for _ in range(3))
