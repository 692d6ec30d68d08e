"""Tests of the removal of ended jobs."""

import asyncio
from dataclasses import replace

import pytest

from radishlift.cell.ports import ChangedRows
from radishlift.cell.tables import CANCELS, JOBS, PROGRESS, entry_shard
from radishlift.core.errors import ErrorKind, Failure
from tests.cell.fakes import DOWN
from tests.cell.leader import SETTINGS, Cell
from tests.steps.builders import job

DROPPED = Failure(ErrorKind.not_found, 'dropped')


@pytest.fixture
async def cell():
    cell = Cell('t1', settings=replace(SETTINGS, forget_ended_ms=30))
    yield cell
    await cell.close()


def exists(cell, table, job_id):
    return bool(cell.store.tables.read(table, job_id).version)


async def test_ended_job_is_removed_and_a_running_one_stays(cell):
    cell.lead()
    ended = cell.submit(job(job_id='a' * 16))
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    cell.end_all()
    await cell.until(lambda: exists(cell, PROGRESS, ended))
    running = cell.submit(job(job_id='b' * 16))
    await cell.until(lambda: not exists(cell, PROGRESS, ended))
    assert not exists(cell, JOBS, ended)
    assert exists(cell, JOBS, running)
    assert len(cell.targets.running_tasks()) == 1


async def test_cancelled_job_is_removed_with_its_cancel(cell):
    cell.lead()
    job_id = cell.submit(job())
    cell.cancel(job_id)
    await cell.until(lambda: exists(cell, PROGRESS, job_id))
    await cell.until(lambda: not exists(cell, CANCELS, job_id))
    await cell.until(lambda: not exists(cell, PROGRESS, job_id))


async def test_next_leader_removes_progress_without_a_job(cell):
    cell.write(PROGRESS, 'f' * 16, {'state': 'completed', 'steps': []})
    cell.lead()
    await cell.until(lambda: not exists(cell, PROGRESS, 'f' * 16))


async def test_jobs_of_several_shards_are_removed(cell):
    cell.lead()
    jobs = [cell.submit(job(job_id=f'{number:016x}')) for number in range(4)]
    assert len({entry_shard(job_id) for job_id in jobs}) > 1
    for job_id in jobs:
        await cell.until_state(job_id, 'completed')
    await cell.until(
        lambda: not any(exists(cell, JOBS, job_id) for job_id in jobs),
    )


async def test_cancel_without_a_job_is_kept_for_late_submissions_only(cell):
    """Guards against rows of cancels that nobody removes."""
    cell.cancel('a' * 16)
    cell.lead()
    running = cell.submit(job(job_id='b' * 16))
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    assert exists(cell, CANCELS, 'a' * 16)
    await cell.until(lambda: not exists(cell, CANCELS, 'a' * 16))
    assert exists(cell, JOBS, running)


async def test_cancel_of_a_job_that_cannot_be_read_stays(cell):
    unreadable, unmatched = 'a' * 16, f'{56:016x}'
    assert entry_shard(unreadable) == entry_shard(unmatched)
    cell.write(JOBS, unreadable, {})
    cell.cancel(unreadable)
    cell.cancel(unmatched)
    cell.lead()
    await cell.until(lambda: not exists(cell, CANCELS, unmatched))
    assert exists(cell, CANCELS, unreadable)


async def test_cancel_of_a_job_that_was_not_read_yet_applies_later(cell):
    """Guards against a cancelled job that runs once its row is read."""
    cell.store.unreadable_tables.add(JOBS)
    cell.lead()
    await asyncio.sleep(0.05)
    cancelled = cell.submit(job(job_id='a' * 16))
    cell.cancel(cancelled)
    await asyncio.sleep(0.2)
    other = cell.submit(job(job_id='b' * 16))
    cell.store.unreadable_tables.clear()
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    await cell.until_state(other, 'completed')
    started = [
        order.key.step_key.job_id for order in cell.targets['t1'].started
    ]
    assert started == [other]


async def test_job_whose_end_is_not_committed_is_not_removed(cell, monkeypatch):
    """Guards against a job that is gone before its end was ever shown."""
    cell.lead()
    job_id = cell.submit(job())
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    commit = cell.store.commit

    async def reject_progress(transaction):
        if any(write.table == PROGRESS for write in transaction.writes):
            return DOWN
        return await commit(transaction)

    monkeypatch.setattr(cell.store, 'commit', reject_progress)
    cell.cancel(job_id)
    await asyncio.sleep(0.2)
    assert exists(cell, JOBS, job_id)
    assert exists(cell, CANCELS, job_id)
    monkeypatch.undo()
    await cell.until(lambda: not exists(cell, JOBS, job_id))


async def test_row_that_was_read_before_its_removal_is_not_added(
    cell, monkeypatch
):
    """Guards against a removed job that a long read of all jobs runs again."""
    cell.lead()
    ended = cell.submit(job())
    row = cell.store.tables.read(JOBS, ended)
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    cell.end_all()
    await cell.until(lambda: not exists(cell, JOBS, ended))
    snapshot = cell.store.snapshot

    async def read_late(table, *partial):
        found = await snapshot(table, *partial)
        if table != JOBS:
            return found
        return ChangedRows((*found.rows, row), found.version)

    changes = cell.store.changes
    drops = [DROPPED]

    async def drop_history(table, *arguments):
        if table == JOBS and drops:
            return drops.pop()
        return await changes(table, *arguments)

    monkeypatch.setattr(cell.store, 'snapshot', read_late)
    monkeypatch.setattr(cell.store, 'changes', drop_history)
    later = cell.submit(job(job_id='b' * 16))
    await cell.until_state(later, 'completed')
    await asyncio.sleep(0.1)
    attempted = [
        order.key.step_key.job_id for order in cell.targets['t1'].attempted
    ]
    assert attempted == [ended, later]
