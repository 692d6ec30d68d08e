"""Tests of jobs whose progress is large."""

import json
from dataclasses import replace

import pytest

from radishlift.cell.tables import PROGRESS
from radishlift.core.errors import ErrorKind, Failure
from tests.cell.leader import SETTINGS, Cell
from tests.steps.builders import job, step

MAX_ROW_BYTES = 4000


@pytest.fixture
async def cell(monkeypatch):
    cell = Cell('t1', cores=100, max_row_bytes=MAX_ROW_BYTES)
    commit = cell.store.commit

    async def refuse_large(transaction):
        sizes = [
            len(json.dumps(write.value, separators=(',', ':')))
            for write in transaction.writes
            if write.table == PROGRESS
        ]
        if max(sizes, default=0) > MAX_ROW_BYTES:
            return Failure(ErrorKind.store_outcome_unknown, 'status 400')
        return await commit(transaction)

    monkeypatch.setattr(cell.store, 'commit', refuse_large)
    yield cell
    await cell.close()


async def test_job_that_fits_in_no_row_does_not_stop_the_others(cell):
    """Guards against a transaction that is refused for ever."""
    large = cell.submit(job(step(300), job_id='a' * 16))
    usual = cell.submit(job(step(10), job_id='b' * 16))
    cell.lead()
    await cell.until_state(usual, 'completed')
    await cell.until(lambda: cell.state(large) == 'failed')
    row = cell.store.tables.read(PROGRESS, large).value
    assert 'row of the store' in row['reason']
    await cell.until(lambda: not cell.targets.running_tasks())


async def test_transactions_are_as_small_as_the_settings_say():
    """Guards against transactions for which a slow link takes seconds."""
    settings = replace(SETTINGS, max_batch_bytes=2000)
    cell = Cell('t1', cores=200, settings=settings)
    for number in range(8):
        cell.submit(job(step(40), job_id=f'{number:016x}'))
    cell.lead()
    await cell.until(lambda: len(cell.targets.running_tasks()) >= 160)
    sizes = [
        sum(
            len(json.dumps(write.value))
            for write in transaction.writes
            if write.table == PROGRESS
        )
        for transaction in cell.store.tables.history
    ]
    await cell.close()
    # A single job may be larger.
    assert 1000 < max(sizes) < 4000
