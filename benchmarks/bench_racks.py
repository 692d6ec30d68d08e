"""Time from a document that moves a rack to the new owner's first start.

Both owners and the workers share one process, and see the document at once,
so that its spreading is not part of the figures. A commit of the table
service takes 3 ms. Tasks on the rack get no time to run on
(`rack_drain_ms` is 0); all other settings have their defaults.
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
PLACES: Final = (PARTITION, OTHER_PARTITION)
WHOLE_WORKER: Final = Resources(30_000, 2_000)


async def measure_moves(*, is_busy: bool) -> list[Figure]:
    """Moves a rack to and fro; work waits at the new owner each time."""
    cell = Cell(
        PartitionSettingsSet(partitions=PartitionSettings(rack_drain_ms=0)),
    )
    cell.store = DelayedStore()
    for _ in range(RACK_SIZE):
        await cell.add_worker(usage_range=(1.0, 1.0))
    owners = [await cell.add_owner(name) for name in ('a', 'b')]
    for owner, partition_id in zip(owners, PLACES, strict=True):
        await owner.claim(partition_id)
    begin_rows = cell.store.tables.write_count
    starts_ms = []
    for number in range(MOVES_COUNT):
        if is_busy:
            await fill(cell, owners[number % 2], number)
        starts_ms.append(await measure_move(cell, owners, number))
    writes_count = cell.store.tables.write_count - begin_rows
    await cell.close()
    name = 'busy_rack' if is_busy else 'idle_rack'
    return [
        Figure(f'{name}_document_to_start_p50_ms', median(starts_ms)),
        Figure(f'{name}_document_to_start_max_ms', max(starts_ms)),
        Figure(f'{name}_rows_per_move', writes_count / MOVES_COUNT),
    ]


async def fill(cell: Cell, owner: Owner, number: int) -> None:
    """Lets a task of the present holder run on each worker."""
    spec = make_job(
        f'{PLACES[number % 2]}.old{number}',
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
    """Moves the rack, and ends all work after the first start; in ms."""
    place = (number + 1) % 2
    spec = make_job(
        f'{PLACES[place]}.new{number}',
        demand=WHOLE_WORKER,
    )
    await owners[place].router.submit(spec, 2_000)
    document = move_to(cell.document, PLACES[place])
    cell.document = document
    begin_s = time.perf_counter()
    for owner in owners:
        owner.config.document = document
        owner.partitions.use_config()
    await until(partial(is_running, cell, f'new{number}/', 1))
    taken_ms = (time.perf_counter() - begin_s) * 1000
    await owners[place].router.cancel(spec.job_id, 2_000)
    old_id = make_job(f'{PLACES[1 - place]}.old{number}').job_id
    await owners[1 - place].router.cancel(old_id, 2_000)
    await until(lambda: not cell.running())
    return taken_ms


def move_to(
    document: ConfigDocument,
    partition_id: PartitionId,
) -> ConfigDocument:
    """Returns the next document, which gives the rack to a partition."""
    return replace(
        document,
        version=ConfigVersion(document.version + 1),
        partitions={
            name: Partition(('r1',) if name == partition_id else ())
            for name in PLACES
        },
    )


def is_running(cell: Cell, job: str, count: int) -> bool:
    """Tells whether so many tasks of a job run."""
    running_count = sum(
        execution.end_ms is None and job in execution.task_id
        for record in cell.records()
        for execution in record.executions
    )
    return running_count >= count


@BENCHMARKS.register('racks')
def run_racks() -> list[Figure]:
    """Measures moves of an idle rack and of one full of tasks."""
    logger.disable('radishlift')
    figures = asyncio.run(measure_moves(is_busy=False))
    figures.extend(asyncio.run(measure_moves(is_busy=True)))
    return figures
