"""Snapshots and recovery of a partition's table of idempotency keys.

The numbers of keys are those of 15 minutes at half of the current load and at
the whole, and the limit of the table. All keys are answered.
"""

import asyncio
import time
import tracemalloc
from base64 import b64encode
from typing import Any, Final

from benchmarks.harness import BENCHMARKS, Figure, at_most
from radishlift.core.codec import dump_plain
from radishlift.core.ids import (
    DaemonId,
    Epoch,
    Incarnation,
    PartitionId,
    Sequence,
)
from radishlift.journal.recovery import RecoveryResult, recover
from radishlift.journal.settings import JournalSettings
from radishlift.journal.snapshot_writer import SnapshotWriter
from radishlift.journal.snapshots import CapturedState
from radishlift.ownership.api import OWNERS_TABLE, OwnerClaim
from radishlift.ownership.owner_rows import OwnerRow
from radishlift.requests.idempotency import (
    IdempotencyTable,
    RequestAnswered,
    RequestIntent,
    RequestsForgotten,
)
from radishlift.services.api import Transaction, Write
from tests.standins.tables import MemoryObjectStore, MemoryTableStore

KEY_COUNTS: Final = (24_300, 48_600, 60_000)
MINUTES: Final = 15
MINUTE_MS: Final = 60_000
START_MS: Final = 1_800_000_000_000
ANSWER_BYTES: Final = 200
# The event loop must not be blocked for longer than a placement decision may
# take, which is 5 ms.
MAX_PAUSE_MS: Final = 5
PARTITION: Final = PartitionId('p1')
MAX_STEPS_COUNT: Final = 1_000


class CountingObjectStore(MemoryObjectStore):
    """Counts the stored bytes, and lets other tasks run."""

    stored_bytes = 0

    async def put(self, name: str, content: bytes) -> Any:
        """Stores an object."""
        self.stored_bytes += len(content)
        await asyncio.sleep(0)
        return await super().put(name, content)

    async def get(self, name: str) -> Any:
        """Reads an object."""
        await asyncio.sleep(0)
        return await super().get(name)


class LoopPauseTimer:
    """Measures the longest pause of the event loop."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._task = asyncio.create_task(self._measure())

    def stop(self) -> None:
        """Ends the measurement."""
        self._task.cancel()

    async def _measure(self) -> None:
        last_s = time.perf_counter()
        while True:
            await asyncio.sleep(0)
            now_s = time.perf_counter()
            self.longest_s = max(self.longest_s, now_s - last_s)
            last_s = now_s


def add_minute(table: IdempotencyTable, minute: int, keys_count: int) -> None:
    """Adds the answered keys of one minute."""
    for number in range(keys_count):
        # Each record has its own strings, as if decoded from a message.
        answer = b64encode(bytes(ANSWER_BYTES)).decode()
        key = f'rugdesk/booking-{minute:04}-{number:08}'
        nonce = f'{minute:08x}{number:08x}'
        at_ms = START_MS + minute * MINUTE_MS + number * MINUTE_MS // keys_count
        table.apply(
            RequestIntent(
                key,
                f'{number:064x}',
                DaemonId('d1'),
                nonce,
                at_ms,
            ),
        )
        table.apply(
            RequestAnswered(
                f'rugdesk/booking-{minute:04}-{number:08}',
                f'{minute:08x}{number:08x}',
                200,
                'application/json',
                answer,
            ),
        )


def make_table(keys_count: int) -> IdempotencyTable:
    """Builds a table with the keys of 15 minutes."""
    table = IdempotencyTable()
    for minute in range(MINUTES):
        add_minute(table, minute, keys_count // MINUTES)
    return table


def claim_partition(store: MemoryTableStore) -> OwnerClaim:
    """Writes the owner row."""
    row = OwnerRow(DaemonId('d1'), Incarnation('1'), Epoch(1))
    write = Write(OWNERS_TABLE, PARTITION, dump_plain(row))
    committed: Any = store.tables.commit(Transaction((), (write,)))
    return OwnerClaim(PARTITION, Epoch(1), committed.versions[0])


async def store_snapshot(
    keeper: SnapshotWriter,
    table: IdempotencyTable,
    sequence: int,
) -> float:
    """Captures and stores the table; returns the longest pause in ms."""
    pause_timer = LoopPauseTimer()
    await asyncio.sleep(0)
    # An owner also runs both without a turn of the event loop between them.
    dumped = {'IdempotencyTable': table.dump()}
    keeper.set_next_state(CapturedState(Sequence(sequence), dumped))
    for _ in range(MAX_STEPS_COUNT):
        if not keeper.has_work:
            break
        written = await keeper.step(20)
        assert isinstance(written, int), written
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    pause_timer.stop()
    return pause_timer.longest_s * 1_000


async def measure(keys_count: int) -> list[Figure]:
    """Measures a first snapshot, a snapshot a minute later, and recovery."""
    store = MemoryTableStore()
    object_store = CountingObjectStore()
    claim = claim_partition(store)
    keeper = SnapshotWriter(store, object_store, claim, JournalSettings())
    table = make_table(keys_count)
    first_ms = await store_snapshot(keeper, table, 1)
    first_bytes = object_store.stored_bytes
    table.apply(RequestsForgotten(START_MS + MINUTE_MS))
    add_minute(table, MINUTES, keys_count // MINUTES)
    later_ms = await store_snapshot(keeper, table, 2)
    loaded = IdempotencyTable()
    pause_timer = LoopPauseTimer()
    await asyncio.sleep(0)
    begin_s = time.perf_counter()
    outcome = await recover(store, object_store, PARTITION, [loaded])
    recovery_ms = (time.perf_counter() - begin_s) * 1_000
    await asyncio.sleep(0)
    pause_timer.stop()
    assert isinstance(outcome, RecoveryResult), outcome
    assert len(loaded) == len(table)
    name = f'keys_{keys_count}'
    return [
        Figure(f'{name}_first_snapshot_pause_ms', first_ms),
        Figure(f'{name}_snapshot_pause_ms', later_ms, at_most(MAX_PAUSE_MS)),
        Figure(f'{name}_first_snapshot_bytes', first_bytes),
        Figure(
            f'{name}_snapshot_bytes', object_store.stored_bytes - first_bytes
        ),
        Figure(f'{name}_recovery_ms', recovery_ms),
        Figure(f'{name}_recovery_pause_ms', pause_timer.longest_s * 1_000),
    ]


def measure_memory(keys_count: int) -> Figure:
    """Measures the memory of an answered key in bytes."""
    tracemalloc.start()
    table = make_table(keys_count)
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return Figure(f'keys_{keys_count}_key_bytes', size_bytes / len(table))


@BENCHMARKS.register('keys')
def run_keys() -> list[Figure]:
    """Measures snapshots, recovery and memory of tables of keys."""
    figures: list[Figure] = []
    for keys_count in KEY_COUNTS:
        figures.extend(asyncio.run(measure(keys_count)))
        figures.append(measure_memory(keys_count))
    return figures
