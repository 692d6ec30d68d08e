"""Tests of the client of the platform's store."""

import asyncio
import base64
import time
from itertools import count

import pytest
from aiohttp import web

from radishlift.cell.tables import CELL, CONFIG, JOBS, PROGRESS, TARGETS
from radishlift.core.errors import ErrorKind, Failure
from radishlift.platform.http import JsonClient
from radishlift.platform.store import PlatformStore
from radishlift.services.api import (
    Committed,
    Condition,
    Conflict,
    Transaction,
    Write,
)
from tests.platform.garbage import UNREADABLE
from tests.platform.test_http import run_server
from tests.standins.store_api import StoreApi


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
    yield PlatformStore(client, api.address)
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


async def test_page_without_rows_is_not_the_last_one():
    async def answer(_request):
        return web.json_response({'ver': 1, 'rows': [], 'hasMore': True})

    client = JsonClient()
    async with run_server(answer) as address:
        found = await PlatformStore(client, address).snapshot(TARGETS)
        assert isinstance(found, Failure)
        await client.close()


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
    store = PlatformStore(client, '127.0.0.1:1')
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
    store = PlatformStore(client, f'127.0.0.1:{port}')
    failure = await store.commit(write(Write(JOBS, 'j1', {})))
    assert failure.kind is ErrorKind.store_outcome_unknown
    await client.close()
    await runner.cleanup()


@pytest.mark.parametrize(
    'encoded',
    ['!!', *(base64.b64encode(content).decode() for content in UNREADABLE)],
)
async def test_unreadable_row_of_another_writer_has_no_fields(
    api, store, encoded
):
    start = await store.snapshot(TARGETS)
    api.version += 1
    api._set('servers', '', 'i-9', encoded)
    found = await store.snapshot(TARGETS)
    assert [(row.key, row.value) for row in found.rows] == [('i-9', {})]
    changed = await store.changes(TARGETS, start.version, 20)
    assert changed.rows == found.rows


async def test_absent_row_of_a_conflict_needs_no_version():
    row = {'table': 'cell', 'part': 'leader', 'key': 'leader'}

    async def answer(_request):
        return web.json_response({'ver': 7, 'rows': [row]}, status=412)

    client = JsonClient()
    async with run_server(answer) as address:
        conflict = await PlatformStore(client, address).commit(
            write(
                Write(PROGRESS, 'j1', {}),
                conditions=[Condition(CELL, 'leader', 3)],
            )
        )
        assert conflict.rows[0].version == 0
        await client.close()


@pytest.mark.parametrize(
    'text', ['{}', '{"ver":1,"rows":5}', '{"ver":1,"rows":[5]}', '[' * 30_000]
)
async def test_malformed_answer_of_the_store_is_a_failure(text):
    async def answer(_request):
        return web.Response(text=text)

    client = JsonClient()
    async with run_server(answer) as address:
        store = PlatformStore(client, address)
        assert isinstance(await store.read(JOBS, 'j'), Failure)
        assert isinstance(await store.snapshot(TARGETS), Failure)
        assert isinstance(await store.changes(TARGETS, 1, 1), Failure)
        await client.close()


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


async def test_snapshot_of_many_parts_succeeds_although_some_reads_are_refused(
    api, store, monkeypatch
):
    """Guards against leaders that never restore their jobs.

    A read of a table with many parts fails if any of them is refused.
    """
    read_rows = api.rows_get
    numbers = count(1)

    async def refuse_some(request):
        if next(numbers) % 10 == 0:
            return web.Response(status=429)
        return await read_rows(request)

    monkeypatch.setattr(api, 'rows_get', refuse_some)
    names = [f'{number:016x}' for number in range(60)]
    for name in names:
        await store.commit(write(Write(JOBS, name, {})))
    for _ in range(10):
        found = await store.snapshot(JOBS)
        if not isinstance(found, Failure):
            break
    assert not isinstance(found, Failure)
    assert sorted(row.key for row in found.rows) == names


async def test_probe_uses_new_connections():
    """Guards against a store that seems lost: open connections went silent."""
    silent = set()
    used = set()

    async def handle(request):
        used.add(request.transport)
        if request.transport in silent:
            await asyncio.sleep(10)
        return web.json_response({'ver': 1, 'rows': []})

    client = JsonClient()
    async with run_server(handle) as address:
        store = PlatformStore(client, address)
        assert not isinstance(await store.read(JOBS, 'j1'), Failure)
        silent.update(used)
        failure = await store.probe(300, 2)
        assert failure is None
        await client.close()


async def test_probe_fails_if_the_store_is_silent_or_refuses():
    answers = [asyncio.sleep(10), asyncio.sleep(0)]

    async def handle(_request):
        await answers.pop(0)
        return web.Response(status=503)

    client = JsonClient()
    async with run_server(handle) as address:
        store = PlatformStore(client, address)
        for _ in range(2):
            failure = await store.probe(50, 1)
            assert failure.kind is ErrorKind.store_unavailable
        await client.close()
