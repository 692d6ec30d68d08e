import asyncio
import json

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address
from radishlift.services.api import Transaction
from radishlift.services.http import (
    HttpHostList,
    HttpTableStore,
    PlatformAnswer,
    PlatformClient,
)


def host_list_body(port) -> bytes:
    host = {
        'address': f'127.0.0.1:{port}',
        'state': 'live',
        'role': 'entry',
        'rack': '',
        'data_centre': 'dc1',
        'service': '',
    }
    return json.dumps({'hosts': [host]}).encode()


class Client:
    """Leaves each read pending until the test sets its answer."""

    def __init__(self) -> None:
        self.reads = []

    async def call(self, _method, _path, headers):
        answer = asyncio.get_running_loop().create_future()
        self.reads.append((headers.get('If-None-Match'), answer))
        return await answer


async def test_not_modified_returns_the_list_whose_tag_was_sent():
    """Guards against a late 304 that is applied to a newer list.

    Reads overlap: a 304 means that the list with the sent tag is unchanged.
    """
    client = Client()
    hosts = HttpHostList(client)

    async def start_read():
        read = asyncio.create_task(hosts.fetch())
        await asyncio.sleep(0)
        return read

    first = await start_read()
    client.reads[0][1].set_result(PlatformAnswer(200, host_list_body(1), 'one'))
    old = await first
    slow, quick = await start_read(), await start_read()
    assert [tag for tag, _ in client.reads] == [None, 'one', 'one']
    client.reads[2][1].set_result(PlatformAnswer(200, host_list_body(2), 'two'))
    new = await quick
    client.reads[1][1].set_result(PlatformAnswer(304, b'', 'one'))
    assert await slow is old
    assert new[0].address == '127.0.0.1:2'


@pytest.mark.parametrize(
    ('status', 'body'),
    [(200, {}), (202, {}), (307, {}), (408, {}), (409, {})],
)
async def test_unexpected_answer_to_a_commit_has_an_unknown_outcome(
    status, body
):
    """Guards against a commit that took effect and counts as not applied."""

    async def answer(_request):
        redirect = {'Location': 'http://127.0.0.1:1/'}
        return web.json_response(body, status=status, headers=redirect)

    app = web.Application()
    app.add_routes([web.post('/table/commit', answer)])
    async with TestServer(app) as server, ClientSession() as session:
        address = Address(f'127.0.0.1:{server.port}')
        store = HttpTableStore(PlatformClient(session, address, 1000))
        outcome = await store.commit(Transaction((), ()))
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.store_outcome_unknown
