"""Tests that a crash is not attributed to starts that came after it."""

import pytest

from radishlift.cell.tables import PROGRESS
from radishlift.steps.settings import StepSettings
from tests.cell.fakes import UNREACHABLE
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


async def test_start_that_is_refused_and_then_rejected_is_not_blamed(
    cell, monkeypatch
):
    """Guards against jobs that fail if a retry meets the next process."""
    cell.lead()
    cell.submit(job(job_id='a' * 16))
    await cell.until_state('a' * 16, 'completed')
    start = cell.targets.start
    unreachable = ['t1', 't2']

    async def refuse_once(target, order):
        if target.target_id in unreachable:
            unreachable.remove(target.target_id)
            cell.targets[target.target_id].is_replaced = True
            return UNREACHABLE
        return await start(target, order)

    monkeypatch.setattr(cell.targets, 'start', refuse_once)
    job_id = cell.submit(job(job_id='b' * 16))
    await cell.until_state(job_id, 'completed')
    assert not unreachable
    row = cell.store.tables.read(PROGRESS, job_id)
    assert not (row.value or {}).get('crashes')
