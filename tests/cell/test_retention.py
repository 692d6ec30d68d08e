"""Tests of the removal of jobs that ended long ago."""

from dataclasses import replace

import pytest

from radishlift.cell.tables import CANCELS, JOBS, PROGRESS, entry_share
from tests.cell.leader import SETTINGS, Cell
from tests.steps.builders import job


@pytest.fixture
async def cell():
    cell = Cell('t1', settings=replace(SETTINGS, forget_ended_ms=30))
    yield cell
    await cell.close()


def is_there(cell, table, job_id):
    return bool(cell.store.tables.read(table, job_id).version)


async def test_ended_job_is_removed_and_a_running_one_stays(cell):
    cell.lead()
    ended = cell.submit(job(job_id='a' * 16))
    await cell.until(lambda: bool(cell.targets.placed()))
    cell.end_all()
    await cell.until(lambda: is_there(cell, PROGRESS, ended))
    running = cell.submit(job(job_id='b' * 16))
    await cell.until(lambda: not is_there(cell, PROGRESS, ended))
    assert not is_there(cell, JOBS, ended)
    assert is_there(cell, JOBS, running)
    assert len(cell.targets.placed()) == 1


async def test_cancelled_job_is_removed_with_its_cancel(cell):
    cell.lead()
    job_id = cell.submit(job())
    cell.cancel(job_id)
    await cell.until(lambda: is_there(cell, PROGRESS, job_id))
    await cell.until(lambda: not is_there(cell, CANCELS, job_id))
    await cell.until(lambda: not is_there(cell, PROGRESS, job_id))


async def test_next_leader_removes_progress_without_a_job(cell):
    cell.write(PROGRESS, 'f' * 16, {'state': 'completed', 'steps': []})
    cell.lead()
    await cell.until(lambda: not is_there(cell, PROGRESS, 'f' * 16))


async def test_jobs_of_several_shares_are_removed(cell):
    cell.lead()
    jobs = [cell.submit(job(job_id=f'{one:016x}')) for one in range(4)]
    assert len({entry_share(one) for one in jobs}) > 1
    for one in jobs:
        await cell.until_state(one, 'completed')
    await cell.until(
        lambda: not any(is_there(cell, JOBS, one) for one in jobs),
    )
