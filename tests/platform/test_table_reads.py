"""Tests of reading whole tables of the store in pages."""

import asyncio

import pytest

from radishlift.cell.ports import PartialSnapshot
from radishlift.cell.tables import JOBS
from radishlift.core.errors import ErrorKind, Failure
from radishlift.platform.http import JsonClient
from radishlift.platform.store import PlatformStore
from radishlift.platform.table_reads import Page, SnapshotRead
from radishlift.services.api import Row
from tests.platform.slow_link import run_slow_link
from tests.platform.test_http import run_server
from tests.standins.store_api import StoreApi

LINK_MBPS = 1
DOWN = Failure(ErrorKind.store_unavailable, 'no answer')
PARTS = tuple(f'p{number}' for number in range(32))


class Pages:
    """Pages of two rows of each part; some reads fail."""

    def __init__(self, size_bytes=1000) -> None:
        self.size_bytes = size_bytes
        self.reads = []
        self.open_count = 0
        self.most_open = 0
        self.failing_parts = frozenset()
        self.is_second_failing = False

    async def read(self, part, first_key):
        self.open_count += 1
        self.most_open = max(self.most_open, self.open_count)
        await asyncio.sleep(0.001)
        self.open_count -= 1
        if part in self.failing_parts or (first_key and self.is_second_failing):
            return DOWN
        self.reads.append((part, first_key))
        number = 0 if first_key else 1
        rows = (Row('t', f'{part}-{2 - number}', 5 - number, {}),)
        return Page(rows, 7 - number, bool(number), self.size_bytes)


async def test_table_is_read_over_a_link_that_needs_longer_than_a_call_may():
    """Guards against a leader on a slow link that never reads its jobs."""
    api = StoreApi()
    for number in range(200):
        part = f'entry-{number % 32}'
        api.put('jobs', part, f'{number:016x}', {'text': 'x' * 1200})
    client = JsonClient(LINK_MBPS)
    async with (
        run_server(api.handle) as address,
        run_slow_link(address, LINK_MBPS) as link,
    ):
        # About 330 KB, for which the link needs 2.6 s.
        found = await PlatformStore(client, link).snapshot(JOBS)
        await client.close()
    assert not isinstance(found, Failure)
    assert len(found.rows) == 200


async def test_failed_snapshot_goes_on_with_the_pages_that_are_missing():
    """Guards against reads that begin again from the start for ever."""
    pages = Pages()
    pages.failing_parts = frozenset(PARTS[4:])
    pages.is_second_failing = True
    read = SnapshotRead(PARTS)
    assert isinstance(await read.run(pages.read, 0), Failure)
    pages.failing_parts = frozenset()
    pages.is_second_failing = False
    found = await read.run(pages.read, 0)
    assert len(found.rows) == 2 * len(PARTS)
    assert found.version == 6
    assert len(pages.reads) == len(set(pages.reads))


async def test_cancelled_snapshot_goes_on_with_the_pages_that_are_missing():
    """Guards against parts that are left out after a lost store."""
    pages = Pages()
    read = SnapshotRead(PARTS)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.004):
            await read.run(pages.read, 1_000_000)
    found = await read.run(pages.read, 1_000_000)
    assert len(found.rows) == 2 * len(PARTS)
    assert len(pages.reads) == len(set(pages.reads))


@pytest.mark.parametrize(
    ('link_bytes_per_s', 'size_bytes', 'most_open'),
    [
        (0, 1_000_000, 32),
        (625_000, 500, 32),
        (625_000, 150_000, 2),
        (125_000_000, 150_000, 32),
    ],
)
async def test_only_as_many_parts_are_read_at_once_as_the_link_bears(
    link_bytes_per_s, size_bytes, most_open
):
    """Guards against heartbeats that wait behind the rows of all parts."""
    pages = Pages(size_bytes)
    await SnapshotRead(PARTS).run(pages.read, link_bytes_per_s)
    assert pages.most_open == most_open


async def test_part_that_fails_does_not_keep_others_from_being_read():
    """Guards against a part that is away and hides all others."""
    pages = Pages()
    pages.failing_parts = frozenset(('p7',))
    assert isinstance(await SnapshotRead(PARTS).run(pages.read, 0), Failure)
    assert {part for part, _ in pages.reads} == set(PARTS) - {'p7'}


async def test_kept_rows_belong_to_one_reader():
    """Guards against jobs of an earlier term that have ended since."""
    api = StoreApi()
    api.put('jobs', 'entry-0', 'j', {})
    client = JsonClient()
    async with run_server(api.handle) as address:
        store = PlatformStore(client, address)
        first, second = PartialSnapshot(), PartialSnapshot()
        assert (await store.snapshot(JOBS, first)).rows
        api.remove('jobs', 'entry-0', 'j')
        assert not (await store.snapshot(JOBS, second)).rows
        await client.close()
