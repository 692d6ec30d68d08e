import asyncio
import json

from radishlift.services.http import HttpHostList, PlatformAnswer


def listing(port) -> bytes:
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
    """Answers each read when the test says so."""

    def __init__(self) -> None:
        self.reads = []

    async def call(self, _method, _path, headers):
        answer = asyncio.get_running_loop().create_future()
        self.reads.append((headers.get('If-None-Match'), answer))
        return await answer


async def test_unchanged_list_is_that_of_the_tag_that_was_sent():
    """Guards against a late 304 that passes for an answer to a newer list."""
    client = Client()
    hosts = HttpHostList(client)

    async def begin():
        read = asyncio.create_task(hosts.fetch())
        await asyncio.sleep(0)
        return read

    first = await begin()
    client.reads[0][1].set_result(PlatformAnswer(200, listing(1), 'one'))
    old = await first
    slow, quick = await begin(), await begin()
    assert [tag for tag, _ in client.reads] == [None, 'one', 'one']
    client.reads[2][1].set_result(PlatformAnswer(200, listing(2), 'two'))
    new = await quick
    client.reads[1][1].set_result(PlatformAnswer(304, b'', 'one'))
    assert await slow is old
    assert new[0].address == '127.0.0.1:2'
