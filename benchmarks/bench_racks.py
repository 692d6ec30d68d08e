"""Time from a document that moves a rack to the new owner's first start.

Both owners and the workers share one process. The owners get the document at
once, so that its distribution does not affect the results. A commit of the
table service takes 3 ms. Tasks on the rack get no time to finish
(`rack_drain_ms` is 0). All other settings have their defaults.
"""

import asyncio
import time
from dataclasses import replace
from functools import partial
from statistics import median
from typing import Final

from loguru import logger

from benchmarks.bench_recovery import DelayedStore
from benchmarks.harness import BENCHMARKS, Figure
from radishlift.config.document import ConfigDocument, Partition
from radishlift.core.ids import ConfigVersion, PartitionId
from radishlift.partitions.parts import PartitionSettingsSet
from radishlift.partitions.settings import PartitionSettings
from radishlift.placement.jobs import Resources
from tests.partitions.cell import OTHER_PARTITION, PARTITION, Cell, make_job
from tests.partitions.owner import Owner
from tests.standins.conditions import until

RACK_SIZE: Final = 8
MOVES_COUNT: Final = 10
PARTITION_IDS: Final = (PARTITION, OTHER_PARTITION)
WHOLE_WORKER: Final = Resources(30_000, 2_000)


async def measure_moves(*, is_busy: bool) -> list[Figure]:
    """Moves a rack back and forth; a job waits at each new owner."""
    cell = Cell(
        PartitionSettingsSet(partitions=PartitionSettings(rack_drain_ms=0)),
    )
    cell.store = DelayedStore()
    for _ in range(RACK_SIZE):
        await cell.add_worker(usage_range=(1.0, 1.0))
    owners = [await cell.add_owner(name) for name in ('a', 'b')]
    for owner, partition_id in zip(owners, PARTITION_IDS, strict=True):
        await owner.claim(partition_id)
    start_rows_count = cell.store.tables.write_count
    start_times_ms = []
    for number in range(MOVES_COUNT):
        if is_busy:
            await fill(cell, owners[number % 2], number)
        start_times_ms.append(await measure_move(cell, owners, number))
    writes_count = cell.store.tables.write_count - start_rows_count
    await cell.close()
    name = 'busy_rack' if is_busy else 'idle_rack'
    return [
        Figure(f'{name}_document_to_start_p50_ms', median(start_times_ms)),
        Figure(f'{name}_document_to_start_max_ms', max(start_times_ms)),
        Figure(f'{name}_rows_per_move', writes_count / MOVES_COUNT),
    ]


async def fill(cell: Cell, owner: Owner, number: int) -> None:
    """Starts a task of the current holder on each worker."""
    spec = make_job(
        f'{PARTITION_IDS[number % 2]}.old{number}',
        demand=WHOLE_WORKER,
        task_count=RACK_SIZE,
    )
    await owner.router.submit(spec, 2_000)
    await until(partial(is_running, cell, f'old{number}/', RACK_SIZE))


async def measure_move(
    cell: Cell,
    owners: list[Owner],
    number: int,
) -> float:
    """Returns the ms from a move to the first start, and ends all tasks."""
    new_index = (number + 1) % 2
    spec = make_job(
        f'{PARTITION_IDS[new_index]}.new{number}',
        demand=WHOLE_WORKER,
    )
    await owners[new_index].router.submit(spec, 2_000)
    document = move_to(cell.document, PARTITION_IDS[new_index])
    cell.document = document
    begin_s = time.perf_counter()
    for owner in owners:
        owner.config.document = document
        owner.partitions.use_config()
    await until(partial(is_running, cell, f'new{number}/', 1))
    duration_ms = (time.perf_counter() - begin_s) * 1000
    await owners[new_index].router.cancel(spec.job_id, 2_000)
    old_id = make_job(f'{PARTITION_IDS[1 - new_index]}.old{number}').job_id
    await owners[1 - new_index].router.cancel(old_id, 2_000)
    await until(lambda: not cell.running())
    return duration_ms


def move_to(
    document: ConfigDocument,
    partition_id: PartitionId,
) -> ConfigDocument:
    """Returns the next document, which assigns the rack to a partition."""
    return replace(
        document,
        version=ConfigVersion(document.version + 1),
        partitions={
            name: Partition(('r1',) if name == partition_id else ())
            for name in PARTITION_IDS
        },
    )


def is_running(cell: Cell, job: str, count: int) -> bool:
    """Returns whether at least `count` tasks of a job run."""
    running_count = sum(
        execution.end_ms is None and job in execution.task_id
        for record in cell.records()
        for execution in record.executions
    )
    return running_count >= count


@BENCHMARKS.register('racks')
def run_racks() -> list[Figure]:
    """Measures moves of an idle rack and of a fully used rack."""
    logger.disable('radishlift')
    figures = asyncio.run(measure_moves(is_busy=False))
    figures.extend(asyncio.run(measure_moves(is_busy=True)))
    return figures
