"""An operator moves racks under load, while daemons are killed and frozen."""

import asyncio
from dataclasses import replace

import pytest

from tests.system.cell import Cell
from tests.system.faults import PAUSE_S, FaultContext
from tests.system.invariants import check_all
from tests.system.shapes import SHAPES, config_text
from tests.system.traffic import (
    LoadOptions,
    collect_evidence,
    send_traffic,
    unfinished_jobs,
)
from tests.system.wide_faults import submit_long_jobs

pytestmark = pytest.mark.system

# Two racks of 8 workers, each the only one of its partition at first.
SHAPE = replace(
    SHAPES['rug_depot'],
    workers_count=16,
    executors_count=4,
    slots_count=8,
)
OPTIONS = LoadOptions(requests_per_s=20, jobs_per_s=5, duration_ms=14_000)
SETTINGS = """
[partitions]
rack_drain_ms = 1000
rack_checkpoint_ms = 200
"""
FIRST, SECOND = SHAPE.racks
MOVE_TIMEOUT_S = 60
WHOLE_WORKER_MILLI = 28_000


async def assign_racks(cell, first_racks, second_racks, name):
    """Sets the racks of the two partitions by an operator's change."""
    _, current = await cell.get(name, '/v1/config')
    text = config_text(cell.shapes)
    text = text.replace(f'racks = {FIRST}\n', f'racks = {first_racks}\n')
    text = text.replace(f'racks = {SECOND}\n', f'racks = {second_racks}\n')
    body = {
        'base': current['version'],
        'text': text,
        'who': 'test',
        'why': 'move racks',
    }
    address = cell.listen[name]
    status, answer = await cell.call('PUT', address, '/v1/config', body)
    assert status == 200, answer


async def row_of(cell, rack):
    path = f'/table/row?table=racks&key={rack}'
    _, row = await cell.call('GET', cell.platform, path)
    return row


async def wait_until_assigned(cell, rack, partition):
    async def is_assigned():
        row = await row_of(cell, rack)
        return bool(row['value']) and row['value']['partition'] == partition

    await cell.wait_for(is_assigned, MOVE_TIMEOUT_S)


async def owner_of(cell, partition, name):
    """Returns the daemon that owns a partition."""
    _, state = await cell.get(name, '/v1/status')
    owners = {
        state_row['partition_id']: state_row['owner']
        for state_row in state['partitions']
    }
    return owners[partition]


async def move_racks(context):
    """Swaps two racks, then moves one back, each during a fault."""
    cell = context.cell
    jobs = await submit_long_jobs(
        context, 'long', 6, cpu_milli=WHOLE_WORKER_MILLI
    )
    tasks = {f'{job}/0' for job in jobs}
    await cell.wait_for_tasks(tasks)
    frozen = await owner_of(cell, FIRST, 'd1')
    operator = next(name for name in cell.names if name != frozen)
    context.killed.append(frozen)
    # The old owner is paused with the old document, beyond its lease.
    cell.processes.freeze(frozen)
    await assign_racks(
        cell, f'{SECOND}, spare-1', f'{FIRST}, spare-2', operator
    )
    await asyncio.sleep(PAUSE_S)
    cell.processes.resume(frozen)
    await wait_until_assigned(cell, FIRST, SECOND)
    await wait_until_assigned(cell, SECOND, FIRST)
    await cell.wait_for_tasks(tasks, MOVE_TIMEOUT_S)
    killed = await owner_of(cell, SECOND, operator)
    context.killed.append(killed)
    name = next(name for name in cell.names if name != killed)
    await assign_racks(cell, FIRST, SECOND, name)
    await cell.kill_daemon(killed)
    await wait_until_assigned(cell, FIRST, FIRST)
    await wait_until_assigned(cell, SECOND, SECOND)
    await cell.wait_for_tasks(tasks, MOVE_TIMEOUT_S)
    await cell.start_daemon(killed)


@pytest.mark.parametrize('variants', [(), ('uses_unheld_racks',)])
async def test_racks_move_under_load(tmp_path, variants):
    """Guards against overcommitment and lost jobs while racks move.

    The broken daemons use the racks of the document at once, which must show
    as overcommitment in the workers' records.
    """
    module = ('tests.system.broken_daemon', ','.join(variants))
    cell = Cell(
        tmp_path,
        (SHAPE,),
        daemons_count=4,
        extra_settings=SETTINGS,
        **({'daemon_module': module} if variants else {}),
    )
    context = FaultContext(cell, seed=1)
    try:
        await cell.start()
        results = await send_traffic(cell, OPTIONS, lambda: move_racks(context))
        open_jobs = await unfinished_jobs(cell, results, 0 if variants else 40)
        evidence = await collect_evidence(
            cell,
            results,
            open_jobs,
            context.killed,
        )
    finally:
        await cell.stop()
    violations = check_all(evidence)
    if variants:
        assert 'no_host_overcommitted' in violations, violations.keys()
    else:
        assert not violations, violations
