"""Tests of the HTTP client against servers on loopback."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from radishlift.core.errors import ErrorKind, TimedOut
from radishlift.platform.http import JsonClient


@asynccontextmanager
async def run_server(handle):
    """Runs a server; yields its address."""
    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0]
    try:
        yield f'{host}:{port}'
    finally:
        await runner.cleanup()


async def test_calls_may_fail_while_the_client_is_closed():
    """Guards against a planned stop that ends with an error.

    Calls without an answer replace the connections to their addresses, also
    while the client closes all connections.
    """
    is_over = asyncio.Event()

    async def never_answer(_request):
        await is_over.wait()
        return web.Response()

    client = JsonClient()
    async with (
        run_server(never_answer) as first,
        run_server(never_answer) as second,
    ):
        calls = [
            asyncio.create_task(client.call('GET', address, '/', timeout_ms))
            for address in (first, second)
            for timeout_ms in (50, 5_000)
        ]
        await asyncio.sleep(0.02)
        sessions = [pool.session for pool in client._pools.values()]
        for session in sessions:
            _delay_close(session)
        await client.close()
        answers = await asyncio.gather(*calls)
        is_over.set()
    assert {answer.kind for answer in answers} == {
        ErrorKind.peer_outcome_unknown
    }
    assert all(session.closed for session in sessions)


def _delay_close(session):
    """Lets the close of a session last until the short calls have failed."""
    close = session.close

    async def close_late():
        await asyncio.sleep(0.1)
        await close()

    session.close = close_late


async def test_calls_after_the_close_are_not_sent():
    """Guards against connections that a stopped daemon leaves open."""
    requests = []

    async def answer(request):
        requests.append(request.path)
        return web.json_response({})

    client = JsonClient()
    async with run_server(answer) as address:
        await client.close()
        outcome = await client.call('GET', address, '/', 1000)
    assert outcome.kind is ErrorKind.peer_unavailable
    assert not requests


async def test_redirected_call_is_not_taken_for_one_that_was_not_sent():
    # The address that refuses connections is that of the redirect.
    requests = []

    async def redirect(request):
        requests.append(request.path)
        return web.Response(status=307, headers={'Location': 'http://[::1]:1/'})

    client = JsonClient()
    async with run_server(redirect) as address:
        answer = await client.call('POST', address, '/run-start', 1000, {})
    await client.close()
    assert requests == ['/run-start']
    assert answer.status == 307


async def _stream(request, pieces_count, pause_s):
    """Answers with a JSON text of pieces that arrive one after another."""
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b'{"pieces":"')
    for _ in range(pieces_count):
        await asyncio.sleep(pause_s)
        await response.write(b'x' * 100)
    await response.write(b'"}')
    return response


async def test_answer_that_keeps_arriving_may_take_longer_than_the_limit():
    """Guards against long answers that a slow link never delivers in time."""
    client = JsonClient()
    async with run_server(lambda request: _stream(request, 8, 0.05)) as address:
        answer = await client.call('GET', address, '/', 200)
    await client.close()
    assert len(answer.fields['pieces']) == 800
    assert answer.size_bytes == 813


async def test_answer_that_stops_arriving_fails():
    """Guards against calls that wait forever for the rest of an answer."""
    client = JsonClient()
    async with run_server(lambda request: _stream(request, 3, 0.5)) as address:
        async with asyncio.timeout(2):
            answer = await client.call('GET', address, '/', 100)
        await client.close()
    assert isinstance(answer, TimedOut)


async def test_answer_in_progress_outlives_its_replaced_connections():
    """Guards against a probe that cuts off answers on slow links."""
    client = JsonClient()
    async with run_server(lambda request: _stream(request, 4, 0.05)) as address:
        call = asyncio.create_task(client.call('GET', address, '/', 500))
        await asyncio.sleep(0.05)
        pool = client._pools[address]
        client.renew(address)
        answer = await call
        assert answer.status == 200
        await asyncio.sleep(0.02)
        assert pool.session.closed
    await client.close()


async def test_long_body_has_the_time_that_the_link_needs():
    """Guards against long writes that a slow link never sends in time."""
    client = JsonClient(link_mbps=1)
    now_s = asyncio.get_running_loop().time()
    async with client._limit_time(100, b'x' * 100_000) as limit:
        # The link alone needs 800 ms.
        assert limit.when() - now_s > 1
    await client.close()


@pytest.mark.parametrize(('status', 'is_contact'), [(200, True), (503, False)])
async def test_refusals_do_not_count_as_contact(status, is_contact):
    """Guards against a store that refuses all calls and is not given up."""

    async def answer(_request):
        return web.json_response({}, status=status)

    client = JsonClient()
    received = []
    async with run_server(answer) as address:
        client.notify_received(address, lambda: received.append(status))
        await client.call('GET', address, '/', 1000)
        await client.close()
    assert bool(received) is is_contact
