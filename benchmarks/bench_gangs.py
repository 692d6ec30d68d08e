"""Start of gangs over partitions, and the journal rows that one costs.

The daemons, one for each partition, and the workers share one process. All
settings have their defaults; a commit of the table service takes 3 ms. Load
summaries are spread before each submission, so that their age is not part of
the figures.
"""

import asyncio
import time
from functools import partial
from statistics import median
from typing import Final

from loguru import logger

from benchmarks.bench_recovery import DelayedStore
from benchmarks.harness import BENCHMARKS, Figure
from radishlift.core.ids import JobId, PartitionId
from radishlift.partitions.parts import PartitionSettingsSet
from tests.partitions.cell import Cell
from tests.partitions.gang_cell import GangCell, make_gang, set_partitions
from tests.standins.conditions import until

PARTITION_COUNTS: Final = (2, 4)
GANGS_COUNT: Final = 20


async def measure_gangs(partitions_count: int) -> list[Figure]:
    """Starts and cancels gangs with one member in each partition."""
    gangs = await open_gangs(partitions_count)
    starts_ms: list[float] = []
    start_rows: list[int] = []
    all_rows: list[int] = []
    for number in range(GANGS_COUNT):
        spec = make_gang(f'p1.gang{number}', task_count=partitions_count)
        await gangs.settle()
        begin_rows = journal_rows(gangs.cell)
        begin_s = time.perf_counter()
        await gangs.home.router.submit(spec, 2_000)
        await until(partial(are_running, gangs.cell, partitions_count))
        starts_ms.append((time.perf_counter() - begin_s) * 1000)
        start_rows.append(journal_rows(gangs.cell) - begin_rows)
        await gangs.home.router.cancel(JobId(spec.job_id), 2_000)
        await gangs.until(partial(has_ended, gangs))
        all_rows.append(journal_rows(gangs.cell) - begin_rows)
    await gangs.cell.close()
    name = f'over_{partitions_count}_partitions'
    return [
        Figure(f'{name}_submit_to_start_p50_ms', median(starts_ms)),
        Figure(f'{name}_submit_to_start_max_ms', max(starts_ms)),
        Figure(f'{name}_submit_to_start_rows', sum(start_rows) / GANGS_COUNT),
        Figure(f'{name}_submit_to_end_rows', sum(all_rows) / GANGS_COUNT),
    ]


async def open_gangs(partitions_count: int) -> GangCell:
    """Opens partitions of one worker, each with its own daemon."""
    cell = Cell(PartitionSettingsSet())
    cell.store = DelayedStore()
    partitions = [
        PartitionId(f'p{number + 1}') for number in range(partitions_count)
    ]
    set_partitions(cell, partitions)
    for partition_id in partitions:
        await cell.add_worker(rack=f'r{partition_id[1:]}')
    gangs = GangCell(cell, DelayedStore)
    for partition_id in partitions:
        await gangs.claim(partition_id, f'daemon-{partition_id}')
    return gangs


def journal_rows(cell: Cell) -> int:
    """Counts the journal rows that were inserted."""
    return sum(
        write.table == 'journal' and write.value is not None
        for transaction in cell.store.tables.history
        for write in transaction.writes
    )


def are_running(cell: Cell, count: int) -> bool:
    """Tells whether so many executions have not ended."""
    return cell.running() == count


def has_ended(gangs: GangCell) -> bool:
    """Tells whether no part is left and the home has closed the job."""
    tables = [
        owner.opened(partition_id).states.placement.tables.gangs
        for partition_id, owner in gangs.owners.items()
    ]
    return not any(table.parts or table.multi_partition for table in tables)


@BENCHMARKS.register('gangs')
def run_gangs() -> list[Figure]:
    """Measures gangs over 2 and 4 partitions."""
    logger.disable('radishlift')
    figures: list[Figure] = []
    for partitions_count in PARTITION_COUNTS:
        figures.extend(asyncio.run(measure_gangs(partitions_count)))
    return figures
