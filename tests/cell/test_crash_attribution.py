"""Tests that a crash is not attributed to starts that came after it."""

import pytest

from radishlift.cell.tables import PROGRESS
from radishlift.steps.settings import StepSettings
from tests.cell.leader import Cell
from tests.steps.builders import job


@pytest.fixture
async def cell():
    cell = Cell('t1', 't2', 't3', step_settings=StepSettings())
    yield cell
    await cell.close()


async def test_start_that_a_later_process_rejects_is_not_blamed_for_the_crash(
    cell,
):
    """Guards against jobs that fail as two targets had crashed before."""
    cell.lead()
    cell.submit(job(job_id='a' * 16))
    await cell.until_state('a' * 16, 'completed')
    for name in ('t1', 't2'):
        cell.targets[name].is_replaced = True
    job_id = cell.submit(job(job_id='b' * 16))
    await cell.until_state(job_id, 'completed')
    row = cell.store.tables.read(PROGRESS, job_id)
    assert not (row.value or {}).get('crashes')
