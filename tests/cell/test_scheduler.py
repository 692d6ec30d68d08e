"""Tests of the leader's starts: changes between a plan and its commit."""

import asyncio
from dataclasses import replace

import pytest

from radishlift.cell.tables import PROGRESS, TARGETS
from tests.cell.leader import SETTINGS, Cell
from tests.steps.builders import job, step

OTHER_JOB = 'b' * 16


@pytest.fixture
async def cell():
    cell = Cell('t1')
    yield cell
    await cell.close()


async def test_shrunken_target_gets_no_start_until_enough_ended(cell):
    fake = cell.targets['t1']
    cell.lead()
    cell.submit(job(step(4)))
    await cell.until(lambda: len(fake.running) == 4)
    cell.write_target('t1', cores=2)
    await asyncio.sleep(0.1)
    cell.submit(job(step(4), job_id=OTHER_JOB))
    for remaining in (3, 2):
        cell.end_one('t1')
        await asyncio.sleep(0.1)
        assert len(fake.running) == remaining
    cell.write_target('t1', cores=4)
    await cell.until(lambda: len(fake.running) == 4)


async def test_attempts_that_are_being_stopped_count_on_a_shrunken_target(cell):
    fake = cell.targets['t1']
    cell.lead()
    job_id = cell.submit(job(step(4)))
    await cell.until(lambda: len(fake.running) == 4)
    fake.keeps_stopped = True
    cell.write_target('t1', cores=2)
    cell.cancel(job_id)
    await cell.until(lambda: len(fake.blocked) == 4)
    cell.submit(job(step(4), job_id=OTHER_JOB))
    await asyncio.sleep(0.1)
    assert len(fake.started) == 4
    cell.end_all()
    await cell.until(lambda: len(fake.started) == 6)
    await asyncio.sleep(0.05)
    assert len(fake.started) == 6


async def test_planned_start_is_not_sent_to_a_target_that_shrank_meanwhile(
    cell,
):
    fake = cell.targets['t1']
    cell.lead()
    await cell.until(lambda: fake.fencing_token == 1)
    cell.store.rejects_commits = True
    cell.submit(job(step(4)))
    await asyncio.sleep(0.05)
    cell.write_target('t1', cores=1)
    await asyncio.sleep(0.05)
    cell.store.rejects_commits = False
    await cell.until(lambda: bool(fake.started))
    await asyncio.sleep(0.1)
    assert len(fake.running) == 1
    cell.write_target('t1', cores=4)
    await cell.until(lambda: len(fake.running) == 4)


async def test_outdated_entries_cause_neither_starts_nor_repeated_commits():
    cell = Cell('t1', settings=replace(SETTINGS, max_entry_age_ms=100))
    fake = cell.targets['t1']
    try:
        cell.lead()
        await cell.until(lambda: fake.fencing_token == 1)
        cell.store.unreadable_tables.add(TARGETS)
        await asyncio.sleep(0.2)
        job_id = cell.submit(job())
        await asyncio.sleep(0.2)
        assert not fake.started
        assert cell.store.tables.read(PROGRESS, job_id).value is None
        cell.store.unreadable_tables.clear()
        await cell.until(lambda: bool(fake.started))
    finally:
        await cell.close()
