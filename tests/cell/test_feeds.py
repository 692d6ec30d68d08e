"""Tests of following a table."""

import asyncio
from contextlib import suppress

import pytest

from radishlift.cell.clock import BootClock
from radishlift.cell.feeds import Followed, TableFollower
from radishlift.cell.settings import CellSettings
from radishlift.services.api import Transaction, Write
from tests.cell.fakes import MemoryCellStore
from tests.only import only
from tests.standins.tables import Fault

FAST = CellSettings(feed_wait_ms=20, feed_retry_ms=5)
# Between the estimate and the objective of urgent work.
URGENT_SLACK_MS = 250


class Follower:
    """A follower of one table, and what it has passed on."""

    def __init__(self, settings: CellSettings = FAST) -> None:
        self.store = MemoryCellStore()
        self.write('first', {'n': 0})
        self.snapshots = []
        self.changes = []
        self.follower = TableFollower(
            self.store, Followed('t'), settings, BootClock()
        )
        self.task = asyncio.create_task(
            self.follower.run(self.snapshots.append, self.changes.append),
        )

    def write(self, key, value):
        self.store.tables.commit(Transaction((), (Write('t', key, value),)))

    def changed(self):
        return [(row.key, row.value) for rows in self.changes for row in rows]

    async def settle(self, condition):
        async with asyncio.timeout(2):
            while not condition():
                await asyncio.sleep(0.003)


@pytest.fixture
async def following():
    following = Follower()
    yield following
    following.task.cancel()
    with suppress(asyncio.CancelledError):
        await following.task


async def test_changes_follow_the_snapshot(following):
    await following.settle(lambda: following.snapshots)
    following.write('b', {'n': 2})
    following.write('first', None)
    await following.settle(lambda: len(following.changed()) == 2)
    row = only(only(following.snapshots))
    assert row.value == {'n': 0}
    assert following.changed() == [('b', {'n': 2}), ('first', None)]


async def test_dropped_history_is_read_anew(following):
    await following.settle(lambda: following.snapshots)
    following.store.is_history_dropped = True
    await following.settle(lambda: len(following.snapshots) == 2)
    assert not following.follower.is_lost


async def test_lost_store_is_told_and_nothing_is_missed(following):
    await following.settle(lambda: following.snapshots)
    following.store.fault = Fault.down
    await following.settle(lambda: following.follower.is_lost)
    following.write('a', {'n': 1})
    following.write('a', {'n': 2})
    following.store.fault = Fault.none
    await following.settle(lambda: len(following.changed()) == 2)
    assert not following.follower.is_lost


async def test_changes_that_end_no_wait_are_still_in_time():
    """A store that has dropped its history lets waiting calls run out."""
    following = Follower(CellSettings())
    following.store.is_deaf = True
    await following.settle(lambda: following.snapshots)
    following.write('b', {'n': 2})
    await following.settle(lambda: following.changed() == [('b', {'n': 2})])
    assert max(following.store.asked_waits_ms) <= URGENT_SLACK_MS
    following.task.cancel()
