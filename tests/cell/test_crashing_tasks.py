"""Tests of tasks that crash the targets that start them."""

import pytest

from tests.cell.leader import Cell
from tests.steps.builders import job, key


@pytest.fixture
async def cell():
    cell = Cell('t1', 't2')
    yield cell
    await cell.close()


async def test_task_that_crashes_targets_is_given_up_after_two(cell):
    cell.targets.crashing.add(key())
    cell.lead()
    job_id = cell.submit(job())
    await cell.until(lambda: cell.state(job_id) == 'failed')
    assert len(cell.targets.crashed) == 2
