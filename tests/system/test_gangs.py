import pytest

from tests.standins.checks import (
    overcommitted_workers,
    parse_record,
    tasks_in_two_places,
)
from tests.system.cell import Cell
from tests.system.shapes import SHAPES

pytestmark = pytest.mark.system

SHAPE = SHAPES['rug_depot']
# One member fits a worker, so that the gang needs all three racks.
GANG = {
    'job_id': 'rug-1.gang',
    'department': SHAPE.department,
    'team': SHAPE.team,
    'name': 'route-plan',
    'kind': 'gang',
    'task_count': SHAPE.workers_count,
    'demand': {'cpu_milli': 20_000, 'memory_mb': 1_000},
    'run_time_ms': 4_000,
}


async def test_gang_over_partitions_outlives_the_owner_of_its_home(tmp_path):
    """Guards against lost summaries and a gang without an owner of its home.

    The daemon that owns the home partition is killed while the gang runs.
    """
    cell = Cell(tmp_path, (SHAPE,))

    async def started_count() -> int:
        records = await cell.records(cell.workers[SHAPE.department])
        return sum(len(record['executions']) for record in records)

    async def are_all_started() -> bool:
        return await started_count() == SHAPE.workers_count

    async def is_finished() -> bool:
        status, body = await cell.get(polled, '/v1/jobs/rug-1.gang')
        wanted = {'finished': SHAPE.workers_count}
        return status == 200 and body['task_counts'] == wanted

    try:
        await cell.start()
        address = cell.listen['d1']
        status, body = await cell.call('POST', address, '/v1/jobs', GANG)
        assert (status, body['partition_id']) == (202, 'rug-1'), body
        await cell.wait_for(are_all_started, 30)
        home = await owner_of(cell, 'rug-1')
        polled = next(name for name in cell.names if name != home)
        await cell.kill_daemon(home)
        await cell.wait_for(is_finished, 60)
        plain = await cell.records(cell.workers[SHAPE.department])
    finally:
        await cell.stop()
    records = [parse_record({**record}) for record in plain]
    assert not tasks_in_two_places(records)
    assert not overcommitted_workers(records)
    assert (
        sum(len(record.executions) for record in records) == SHAPE.workers_count
    )


async def owner_of(cell: Cell, partition_id: str) -> str:
    """Returns the daemon that runs a partition."""
    for name in cell.names:
        _, state = await cell.get(name, '/v1/status')
        if partition_id in state['running']:
            return name
    raise AssertionError(f'no daemon runs partition {partition_id}')
