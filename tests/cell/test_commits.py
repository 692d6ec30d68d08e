"""Tests of the leader's transactions."""

import asyncio
import json
from contextlib import suppress

import pytest

from radishlift.cell.commits import Claim, CommitLog
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import (
    CELL,
    COMMITS,
    LAST_COMMIT_KEY,
    LEADER_KEY,
    PROGRESS,
)
from radishlift.core.clock import BootClock
from radishlift.services.api import Transaction, Write
from radishlift.steps.ids import FencingToken, TargetId
from radishlift.steps.runs import JobState
from tests.cell.fakes import MemoryCellStore
from tests.only import only
from tests.standins.tables import Fault
from tests.steps.builders import job, step


@pytest.fixture
def store():
    store = MemoryCellStore()
    store.tables.commit(
        Transaction(
            (),
            (
                Write(CELL, LEADER_KEY, {'daemon': 'd1', 'epoch': 1}),
                Write(COMMITS, LAST_COMMIT_KEY, {'epoch': 1, 'number': 0}),
            ),
        )
    )
    return store


def claim(age_ms=0):
    return Claim(FencingToken(1), 1, 2, BootClock().monotonic_ms() - age_ms)


@pytest.fixture
def log(store):
    return CommitLog(
        store,
        claim(),
        CellSettings(pulse_ms=20),
        BootClock(),
    )


async def start(log):
    return asyncio.create_task(log.run())


def depose(store):
    store.tables.commit(
        Transaction((), (Write(CELL, LEADER_KEY, {'daemon': 'd2'}),))
    )


async def test_callbacks_run_after_the_commit(store, log):
    committed_rows = []
    run = job()
    run.state = JobState.completed
    log.enqueue(
        run,
        lambda: committed_rows.append(
            store.tables.read(PROGRESS, run.spec.job_id)
        ),
    )
    assert run.committed_state is JobState.queued
    task = await start(log)
    await log.wait_committed()
    task.cancel()
    assert committed_rows[0].value['state'] == 'completed'
    assert run.committed_state is JobState.completed


@pytest.mark.parametrize(
    'fault', [Fault.lose_answers, Fault.lose_requests, Fault.down]
)
async def test_failed_commits_are_repeated_until_they_succeed(
    store, log, fault
):
    store.fail_next_commits = [fault, fault]
    log.enqueue(job())
    task = await start(log)
    await asyncio.wait_for(log.wait_committed(), 2)
    assert not task.done()
    task.cancel()
    assert store.tables.read(PROGRESS, 'a' * 16).version


async def test_lost_transaction_can_not_take_effect_after_a_later_one(
    store, log
):
    store.fail_next_commits = [Fault.lose_requests]
    run = job()
    log.enqueue(run)
    task = await start(log)
    await log.wait_committed()
    run.state = JobState.completed
    log.enqueue(run)
    await log.wait_committed()
    late = only(store.lost_requests)
    store.tables.commit(late)
    task.cancel()
    row = store.tables.read(PROGRESS, run.spec.job_id)
    assert row.value['state'] == 'completed'


async def test_deposed_leader_commits_nothing(store, log):
    depose(store)
    run = job()
    callback_calls = []
    log.enqueue(run, lambda: callback_calls.append(1))
    await asyncio.wait_for(log.run(), 2)
    assert not store.tables.read(PROGRESS, run.spec.job_id).version
    assert not callback_calls


async def test_leader_is_unconfirmed_without_commits(store):
    settings = CellSettings(pulse_ms=10, unconfirmed_ms=60)
    log = CommitLog(store, claim(), settings, BootClock())
    task = await start(log)
    await asyncio.sleep(0.1)
    assert log.is_confirmed
    store.fault = Fault.down
    await asyncio.sleep(0.1)
    assert not log.is_confirmed
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


@pytest.mark.parametrize('age_ms', [0, 7000])
async def test_leader_whose_claim_is_old_is_unconfirmed(store, age_ms):
    # The process was suspended, and another daemon may lead since then.
    log = CommitLog(store, claim(age_ms), CellSettings(), BootClock())
    assert log.is_confirmed is not bool(age_ms)


async def test_backlog_does_not_delay_those_who_wait_for_earlier_commits(
    store, log, monkeypatch
):
    commit = store.commit

    async def commit_slowly(transaction):
        await asyncio.sleep(0.002)
        return await commit(transaction)

    monkeypatch.setattr(store, 'commit', commit_slowly)

    async def keep_more_than_a_batch_waiting():
        while True:
            for number in range(100):
                log.enqueue(job(job_id=f'{number:016x}'))
            await asyncio.sleep(0.001)

    log.enqueue(job())
    waiting = asyncio.create_task(log.wait_committed())
    await asyncio.sleep(0)
    backlog = asyncio.create_task(keep_more_than_a_batch_waiting())
    task = await start(log)
    try:
        await asyncio.wait_for(waiting, 1)
    finally:
        backlog.cancel()
        task.cancel()


async def test_many_large_jobs_are_committed_in_several_transactions(
    store, log
):
    """Guards against a transaction that is larger than the store accepts."""
    runs = [job(step(700), job_id=f'{number:016x}') for number in range(60)]
    for run in runs:
        for task in run.all_tasks():
            task.attempt = 1
            task.target_id = TargetId('i-0123456789')
        run.state = JobState.running
        log.enqueue(run)
    task = await start(log)
    await log.wait_committed()
    task.cancel()
    sizes = [
        sum(len(json.dumps(write.value)) for write in transaction.writes)
        for transaction in store.tables.history
    ]
    # The store accepts 1 MB of base64.
    assert max(sizes) < 750_000
    assert {run.committed_state for run in runs} == {JobState.running}
