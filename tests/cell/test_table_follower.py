"""Tests of following a table."""

import asyncio
from contextlib import suppress

import pytest

from radishlift.cell.settings import CellSettings
from radishlift.cell.table_follower import FollowedTable, TableFollower
from radishlift.core.clock import BootClock
from radishlift.services.api import Transaction, Write
from tests.cell.fakes import DOWN, MemoryCellStore
from tests.only import only
from tests.standins.tables import Fault

SETTINGS = CellSettings(feed_wait_ms=20, feed_retry_ms=5)
# Time between the estimate and the objective of urgent jobs.
URGENT_SLACK_MS = 250


class FollowerSetup:
    """A follower of one table, with the snapshots and changes received."""

    def __init__(self, settings: CellSettings = SETTINGS) -> None:
        self.store = MemoryCellStore()
        self.write('first', {'n': 0})
        self.snapshots = []
        self.changes = []
        self.follower = TableFollower(
            self.store, FollowedTable('t'), settings, BootClock()
        )
        self.task = asyncio.create_task(
            self.follower.run(self.snapshots.append, self.changes.append),
        )

    def write(self, key, value):
        self.store.tables.commit(Transaction((), (Write('t', key, value),)))

    def changed(self):
        return [(row.key, row.value) for rows in self.changes for row in rows]

    async def until(self, condition):
        async with asyncio.timeout(2):
            while not condition():
                await asyncio.sleep(0.003)


@pytest.fixture
async def following():
    following = FollowerSetup()
    yield following
    following.task.cancel()
    with suppress(asyncio.CancelledError):
        await following.task


async def test_changes_follow_the_snapshot(following):
    await following.until(lambda: following.snapshots)
    following.write('b', {'n': 2})
    following.write('first', None)
    await following.until(lambda: len(following.changed()) == 2)
    row = only(only(following.snapshots))
    assert row.value == {'n': 0}
    assert following.changed() == [('b', {'n': 2}), ('first', None)]


async def test_snapshot_is_read_again_after_history_was_dropped(following):
    await following.until(lambda: following.snapshots)
    following.store.is_history_dropped = True
    await following.until(lambda: len(following.snapshots) == 2)
    assert not following.follower.is_store_lost


async def test_lost_store_is_reported_and_no_change_is_missed(following):
    await following.until(lambda: following.snapshots)
    following.store.fault = Fault.down
    await following.until(lambda: following.follower.is_store_lost)
    following.write('a', {'n': 1})
    following.write('a', {'n': 2})
    following.store.fault = Fault.none
    await following.until(lambda: len(following.changed()) == 2)
    assert not following.follower.is_store_lost


async def test_change_that_does_not_end_the_wait_arrives_in_time():
    """Guards against late changes after the store dropped its history.

    The store then leaves waiting calls without changes until they time out.
    """
    following = FollowerSetup(CellSettings())
    following.store.ignores_changes = True
    await following.until(lambda: following.snapshots)
    following.write('b', {'n': 2})
    await following.until(lambda: following.changed() == [('b', {'n': 2})])
    assert max(following.store.requested_waits_ms) <= URGENT_SLACK_MS
    following.task.cancel()


async def test_rest_shortens_the_wait_and_loses_no_change(following):
    following.follower.choose_rest_ms = lambda: 15
    await following.until(lambda: following.snapshots)
    following.store.requested_waits_ms.clear()
    for number in range(5):
        following.write('a', {'n': number})
        await asyncio.sleep(0.004)
    await following.until(lambda: ('a', {'n': 4}) in following.changed())
    assert len(following.changed()) == 5
    assert 5 in following.store.requested_waits_ms


async def test_first_read_after_a_failure_does_not_wait(following):
    """Guards against a daemon that learns late that the store is back."""
    await following.until(lambda: following.store.requested_waits_ms)
    following.follower._settings = CellSettings(
        feed_wait_ms=900, feed_retry_ms=5
    )
    following.store.fault = Fault.down
    await following.until(lambda: following.follower.is_store_lost)
    following.store.requested_waits_ms.clear()
    following.store.fault = Fault.none
    await following.until(lambda: not following.follower.is_store_lost)
    assert max(following.store.requested_waits_ms[:-1], default=0) <= 20


async def test_read_that_continues_a_failed_one_is_as_old_as_that(following):
    """Guards against old entries of targets that count as recent."""
    read_at_ms = []
    following.follower.on_read = read_at_ms.append
    snapshot = following.store.snapshot
    failed_at_ms = []

    async def fail_at_first(table, partial):
        if not failed_at_ms:
            failed_at_ms.append(BootClock().monotonic_ms())
            await asyncio.sleep(0.02)
            partial.pages_count = 1
            return DOWN
        return await snapshot(table)

    following.store.snapshot = fail_at_first
    following.store.is_history_dropped = True
    await following.until(lambda: len(following.snapshots) == 2)
    await following.until(lambda: len(read_at_ms) > 1)
    assert min(read_at_ms[-2:]) <= failed_at_ms[0]
