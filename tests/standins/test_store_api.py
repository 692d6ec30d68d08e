"""Tests of the stand-in of the platform's store."""

import asyncio
import json

from aiohttp.test_utils import make_mocked_request

from tests.standins.store_api import StoreApi


async def read_feed(store, after):
    path = f'/rows-feed?table=servers&dependsOn={after}&waitMs=0'
    answer = await store.handle(make_mocked_request('GET', path))
    fields = json.loads(answer.body)
    return [row['key'] for row in fields['rows']], fields['ver']


async def test_feed_omits_no_row_that_is_added_at_the_end_of_a_wait():
    store = StoreApi()
    reading = asyncio.create_task(read_feed(store, 0))
    await asyncio.sleep(0)
    store.put('servers', '', 'i-1', {})
    first_keys, version = await reading
    keys, _ = await read_feed(store, version)
    assert first_keys + keys == ['i-1']
