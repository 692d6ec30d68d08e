"""Tests of the rows of ended jobs."""

import asyncio
import json
from dataclasses import replace

import pytest

from radishlift.access.keys import KeyDigest
from radishlift.cell.entry_rows import _is_of_same_caller
from radishlift.cell.job_rows import dump_ended_job, dump_job
from radishlift.cell.tables import JOBS, entry_shard
from radishlift.core.errors import ErrorKind, Failure
from tests.cell.leader import SETTINGS, Cell
from tests.steps.builders import job

LONG_TEXT = 'x' * 4000
# Numbers of jobs whose rows are in one shard.
NUMBERS = [
    number
    for number in range(500)
    if entry_shard(f'{number:016x}') == entry_shard(f'{0:016x}')
]


@pytest.fixture
async def cell(monkeypatch):
    monkeypatch.setattr('radishlift.cell.ended_rows._MAX_SHARD_BYTES', 5000)
    cell = Cell('t1', settings=replace(SETTINGS, forget_ended_ms=60_000))
    yield cell
    await cell.close()


def long_job(number):
    run = job(job_id=f'{number:016x}')
    run.spec = replace(run.spec, text=LONG_TEXT)
    return run


def size(cell, job_id):
    return len(json.dumps(cell.store.tables.read(JOBS, job_id).value))


async def run_long_jobs(cell):
    """Runs two jobs of one shard."""
    jobs = [cell.submit(long_job(number)) for number in NUMBERS[:2]]
    for job_id in jobs:
        await cell.until_state(job_id, 'completed')
    return jobs


async def test_rows_of_ended_jobs_are_short_at_the_next_takeover(cell):
    """Guards against a takeover that reads the texts of minutes of traffic."""
    term = cell.lead()
    jobs = await run_long_jobs(cell)
    await cell.until(lambda: all(size(cell, job_id) < 500 for job_id in jobs))
    await cell.kill(term)
    cell.lead()
    later = cell.submit(job(job_id='f' * 16))
    await cell.until_state(later, 'completed')
    assert {cell.state(job_id) for job_id in jobs} == {'completed'}
    assert len(cell.targets['t1'].started) == 3


async def test_rows_of_running_jobs_and_of_few_ended_ones_stay(cell):
    cell.lead()
    ended = cell.submit(long_job(NUMBERS[0]))
    await cell.until_state(ended, 'completed')
    running = [cell.submit(long_job(number)) for number in NUMBERS[1:4]]
    await cell.until(lambda: len(cell.targets.running_tasks()) == 3)
    await asyncio.sleep(0.1)
    assert all(size(cell, job_id) > 4000 for job_id in (ended, *running))


async def test_row_of_a_job_whose_tasks_still_run_stays(cell):
    """Guards against progress whose steps the next leader does not know."""
    cell.lead()
    jobs = [cell.submit(long_job(number)) for number in NUMBERS[:2]]
    await cell.until(lambda: len(cell.targets.running_tasks()) == 2)
    cell.targets['t1'].is_unresponsive = True
    for job_id in jobs:
        cell.cancel(job_id)
    await cell.until(
        lambda: {cell.state(job_id) for job_id in jobs} == {'cancelled'}
    )
    await asyncio.sleep(0.05)
    assert all(size(cell, job_id) > 4000 for job_id in jobs)


async def test_late_write_brings_no_removed_row_back(cell, monkeypatch):
    """Guards against jobs that appear again after their removal."""
    commit = cell.store.commit
    late = []

    async def hold_back(transaction):
        if any(write.table == JOBS for write in transaction.writes):
            late.append(transaction)
            return Failure(ErrorKind.store_outcome_unknown, 'no answer')
        return await commit(transaction)

    monkeypatch.setattr(cell.store, 'commit', hold_back)
    cell.lead()
    jobs = await run_long_jobs(cell)
    await cell.until(lambda: bool(late))
    for job_id in jobs:
        cell.write(JOBS, job_id, None)
    await commit(late[0])
    assert not any(cell.store.tables.read(JOBS, name).value for name in jobs)


def test_short_row_still_tells_whose_job_it_is():
    """Guards against a repeated submission that is taken for another's."""
    run = job()
    run.workspace = 'w'
    digest = KeyDigest('d')
    row = dump_ended_job(run, digest)
    for workspace in ('w', 'renamed'):
        again = dump_job(run.spec, run.terms, 1, workspace, digest)
        assert _is_of_same_caller(row, again)
    other = dump_job(run.spec, run.terms, 1, 'other', KeyDigest('e'))
    assert not _is_of_same_caller(row, other)
