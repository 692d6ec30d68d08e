"""Tests of the client of the platform's store."""

import asyncio
import random
import time

import pytest
from aiohttp import web

from radishlift.cell.answer_times import AnswerTimes
from radishlift.cell.entry_rows import StoreRows
from radishlift.cell.job_service import JobService
from radishlift.cell.queues import Queue
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import CELL, CONFIG, JOBS, PROGRESS, TARGETS
from radishlift.core.clock import SystemClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId, ServiceName
from radishlift.platform.http import JsonClient
from radishlift.platform.store import PlatformStore
from radishlift.services.api import (
    Committed,
    Condition,
    Conflict,
    Transaction,
    Write,
)
from radishlift.steps.ids import QueueName
from radishlift.steps.spec import Amounts, JobSpec, QueueTerms, StepSpec
from tests.platform.test_http import run_server
from tests.standins.store_api import StoreApi

QUEUE = Queue(QueueTerms(QueueName('q'), ServiceName('s')), 'q.example', '/q/')


def make_store(client, address):
    times = AnswerTimes(CellSettings())
    return PlatformStore(client, address, times, SystemClock())


@pytest.fixture
async def api():
    api = StoreApi()
    runner = web.ServerRunner(web.Server(api.handle))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    api.address = f'127.0.0.1:{port}'
    yield api
    await runner.cleanup()


@pytest.fixture
async def store(api):
    client = JsonClient()
    yield make_store(client, api.address)
    await client.close()


def write(*writes, conditions=()):
    return Transaction(tuple(conditions), tuple(writes))


async def test_rows_are_read_back(store):
    outcome = await store.commit(write(Write(JOBS, 'j1', {'n': 'é'})))
    assert isinstance(outcome, Committed)
    row = await store.read(JOBS, 'j1')
    assert (row.value, row.version) == ({'n': 'é'}, outcome.versions[0])


async def test_absent_row_has_no_version(store):
    await store.commit(write(Write(JOBS, 'j2', {})))
    row = await store.read(JOBS, 'j1')
    assert (row.version, row.value) == (0, None)


async def test_conflict_returns_the_current_rows(store):
    await store.commit(write(Write(CELL, 'leader', {'epoch': 3})))
    conflict = await store.commit(
        write(
            Write(PROGRESS, 'j1', {}),
            conditions=[Condition(CELL, 'leader', 0)],
        )
    )
    assert isinstance(conflict, Conflict)
    assert conflict.rows[0].value == {'epoch': 3}
    assert (await store.read(PROGRESS, 'j1')).version == 0


async def test_snapshot_reads_all_pages(api, store, monkeypatch):
    monkeypatch.setattr('radishlift.platform.store._PAGE_ROWS', 2)
    for number in range(5):
        await store.commit(write(Write(PROGRESS, f'j{number}', {'n': number})))
    found = await store.snapshot(PROGRESS)
    assert [row.value['n'] for row in found.rows] == [0, 1, 2, 3, 4]
    assert found.version <= api.version


async def test_changes_are_those_after_a_version(api, store):
    api.put('op', '', 'config', {'version': 1})
    start = await store.snapshot(CONFIG)
    api.put('op', '', 'config', {'version': 2})
    api.put('servers', '', 'i-1', {})
    changed = await store.changes(CONFIG, start.version, 20)
    assert [row.value for row in changed.rows] == [{'version': 2}]


async def test_removed_rows_are_reported(api, store):
    await store.commit(write(Write(JOBS, 'j1', {})))
    start = await store.snapshot(JOBS)
    await store.commit(write(Write(JOBS, 'j1', None)))
    changed = await store.changes(JOBS, start.version, 20)
    assert [(row.key, row.value) for row in changed.rows] == [('j1', None)]


async def test_dropped_history_is_reported(api, store):
    api.first_kept = 9
    failure = await store.changes(JOBS, 3, 10)
    assert failure.kind is ErrorKind.not_found


@pytest.mark.parametrize('status', [429, 503])
async def test_refused_transaction_has_no_effect(api, store, status):
    api.status = status
    failure = await store.commit(write(Write(JOBS, 'j1', {})))
    assert failure.kind is ErrorKind.store_unavailable


async def test_unreachable_store_is_a_certain_refusal_of_commits():
    client = JsonClient()
    store = make_store(client, '127.0.0.1:1')
    failure = await store.commit(write(Write(JOBS, 'j1', {})))
    assert failure.kind is ErrorKind.store_unavailable
    await client.close()


async def test_broken_connection_is_an_unknown_outcome():
    async def abort_connection(request):
        await request.read()
        request.transport.abort()

    runner = web.ServerRunner(web.Server(abort_connection))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    client = JsonClient()
    store = make_store(client, f'127.0.0.1:{port}')
    failure = await store.commit(write(Write(JOBS, 'j1', {})))
    assert failure.kind is ErrorKind.store_outcome_unknown
    await client.close()
    await runner.cleanup()


class LosingApi(StoreApi):
    """Loses a share of its answers; the calls have taken effect."""

    def __init__(self, lost_share):
        super().__init__()
        self.lost_share = lost_share
        self.random = random.Random(1)
        self.is_over = asyncio.Event()

    async def handle(self, request):
        answer = await super().handle(request)
        if self.random.random() < self.lost_share:
            await self.is_over.wait()
        return answer


async def test_jobs_are_accepted_in_time_while_most_answers_are_lost():
    """Guards against callers held to their deadline by a store that works."""
    api = LosingApi(lost_share=0)
    async with run_server(api.handle) as address:
        client = JsonClient()
        store = make_store(client, address)
        service = JobService(StoreRows(store), SystemClock(), dict)
        await store.read(JOBS, 'x')
        start = await store.snapshot(CELL)
        api.lost_share = 0.6
        # Every daemon follows tables meanwhile.
        following = asyncio.create_task(follow(store, start.version))
        deadline_ms = SystemClock().monotonic_ms() + 3000
        jobs = [make_spec(number) for number in range(12)]
        try:
            outcomes = await asyncio.gather(
                *(service.submit(QUEUE, spec, deadline_ms) for spec in jobs)
            )
        finally:
            following.cancel()
            api.is_over.set()
        await client.close()
    assert set(outcomes) == {None}
    assert len(api.rows) == len(jobs)


async def follow(store, version):
    while True:
        await store.changes(CELL, version, 100)


def make_spec(number):
    step = StepSpec(tasks_count=1, amounts=Amounts(1000, 100))
    return JobSpec(JobId(f'{number:016x}'), 'text', (step,))


async def test_unreadable_row_of_another_writer_has_no_value(api, store):
    api.version += 1
    api._set('servers', '', 'i-9', '!!')
    found = await store.snapshot(TARGETS)
    assert [(row.key, row.value) for row in found.rows] == [('i-9', None)]


@pytest.mark.parametrize('status', [429, 503])
async def test_failed_read_is_not_an_absent_row(api, store, status):
    api.status = status
    failure = await store.read(JOBS, 'x')
    assert isinstance(failure, Failure)
    assert failure.kind is ErrorKind.store_unavailable


async def test_slow_part_does_not_delay_all_submissions(api, store):
    """Guards against submissions that all wait for one slow part.

    A part handles its transactions one after another.
    """
    api.part_ms = 60
    started_s = time.monotonic()
    outcomes = await asyncio.gather(
        *(
            store.commit(write(Write(JOBS, f'{number:016x}', {})))
            for number in range(40)
        ),
    )
    assert all(isinstance(outcome, Committed) for outcome in outcomes)
    took_ms = (time.monotonic() - started_s) * 1000
    # In sequence they would take 40 times as long as one.
    assert took_ms < 20 * api.part_ms


async def test_snapshot_has_the_rows_of_all_parts(store):
    names = [f'{number:016x}' for number in range(60)]
    for name in names:
        await store.commit(write(Write(JOBS, name, {})))
    found = await store.snapshot(JOBS)
    assert sorted(row.key for row in found.rows) == names
    changed = await store.changes(JOBS, found.version, 10)
    assert not changed.rows
