"""A cell of several owners with a team quota."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

from radishlift.config.document import Team
from radishlift.core.ids import ConfigVersion, PartitionId, TeamName
from radishlift.quotas.settings import QuotaSettings
from radishlift.quotas.sync import ShareSync
from tests.partitions.cell import OTHER_PARTITION, PARTITION, Cell, open_cell
from tests.partitions.owner import Owner

TEAM = TeamName('wash')
CPU_MILLI = 1_000
QUOTAS = QuotaSettings(
    sync_interval_ms=10,
    return_after_ms=50,
    retry_interval_ms=20,
    max_retry_interval_ms=100,
    hold_back_ms=200,
    hint_interval_ms=50,
    call_timeout_ms=300,
)
PARTITIONS = (PARTITION, OTHER_PARTITION)


def change_quota(cell: Cell, tasks_count: int) -> None:
    """Applies a quota at all owners."""
    cell.document = replace(
        cell.document,
        version=ConfigVersion(cell.document.version + 1),
        teams={TEAM: Team('rugs', cpu_milli=tasks_count * CPU_MILLI)},
    )
    for owner in cell.owners.values():
        owner.config.document = cell.document
        owner.partitions.use_config()


async def add_quota_owner(cell: Cell, name: str, *claims: PartitionId) -> Owner:
    """Starts a daemon that claims partitions and exchanges quota shares."""
    owner = await cell.add_owner(name)
    sync = ShareSync(
        owner.parts,
        owner.partitions,
        owner.lookup,
        owner.config,
    )
    owner.loops.append(asyncio.create_task(sync.run_forever()))
    for partition_id in claims:
        await owner.claim(partition_id)
    return owner


def peak_running_count(cell: Cell) -> int:
    """Returns the most tasks that ran at the same time, by worker records."""
    executions = [
        execution
        for record in cell.records()
        for execution in record.executions
    ]
    return max(
        (
            sum(
                other.start_ms <= execution.start_ms < other.last_ms
                for other in executions
            )
            for execution in executions
        ),
        default=0,
    )


@asynccontextmanager
async def open_quota_cell(
    tasks_count: int,
) -> AsyncIterator[tuple[Cell, Owner, Owner]]:
    """Opens a cell of two partitions with one owner each."""
    async with open_cell() as cell:
        cell.settings = replace(cell.settings, quotas=QUOTAS)
        await cell.add_worker(rack='r2')
        change_quota(cell, tasks_count)
        first = await add_quota_owner(cell, 'a', PARTITION)
        second = await add_quota_owner(cell, 'b', OTHER_PARTITION)
        yield cell, first, second


__all__ = (
    'CPU_MILLI',
    'PARTITIONS',
    'TEAM',
    'add_quota_owner',
    'change_quota',
    'open_quota_cell',
    'peak_running_count',
)
