import asyncio

import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.journal.partition_journal import FlushResult
from radishlift.services.api import Conflict, Row
from tests.journal.states import PARTITION, Owner, recovered_numbers
from tests.standins.tables import Fault, MemoryTableStore


@pytest.fixture
async def owner():
    owner = Owner(MemoryTableStore(), row_bytes=1024)
    await owner.open(1)
    return owner


async def test_one_flush_is_one_row_and_recovers_in_order(owner):
    """Guards against a row for each record, and against lost order."""
    position = owner.append_numbers(*range(20))
    flushed = await owner.journal.flush()
    assert flushed == FlushResult(1, 1, 20)
    assert await owner.journal.wait_durable(position, 0) is None
    assert await recovered_numbers(owner.store, owner.objects) == list(
        range(20)
    )


async def test_batch_above_the_row_size_is_split(owner):
    """Guards against rows above the bound after a burst."""
    owner.append_numbers(*range(10), padding='x' * 400)
    assert await owner.journal.flush() == FlushResult(5, 5, 10)
    assert await recovered_numbers(owner.store, owner.objects) == list(
        range(10)
    )


@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
async def test_unknown_outcome_is_resolved_by_a_retry(owner, fault):
    """Guards against a record that is written twice or never."""
    owner.append_numbers(1)
    owner.store.fail_next_commits.append(fault)
    assert await owner.journal.flush() == FlushResult(1, 1, 1)
    owner.append_numbers(2)
    await owner.journal.flush()
    assert await recovered_numbers(owner.store, owner.objects) == [1, 2]


async def test_failed_row_keeps_its_records(owner):
    """Guards against state that no new owner rebuilds after an outage."""
    owner.append_numbers(1)
    owner.store.fault = Fault.down
    failure = await owner.journal.flush()
    assert isinstance(failure, Failure)
    assert failure.kind is ErrorKind.store_unavailable
    assert owner.journal.refusal().kind is ErrorKind.store_unavailable
    owner.store.fault = Fault.none
    owner.append_numbers(2)
    assert await owner.journal.flush() == FlushResult(1, 1, 2)
    assert owner.journal.refusal() is None
    assert await recovered_numbers(owner.store, owner.objects) == [1, 2]


async def test_outage_after_a_send_is_an_unknown_outcome(owner):
    """Guards against "not run" for a row that was written."""
    position = owner.append_numbers(1)
    owner.store.fail_next_commits = [Fault.lose_answers, Fault.down]
    failure = await owner.journal.flush()
    assert failure.kind is ErrorKind.store_outcome_unknown
    waited = await owner.journal.wait_durable(position, 0)
    assert waited.kind is ErrorKind.store_outcome_unknown
    assert not owner.journal.cancel(position)
    owner.append_numbers(2)
    assert await owner.journal.flush() == FlushResult(2, 2, 2)
    assert await recovered_numbers(owner.store, owner.objects) == [1, 2]


async def test_late_flush_of_a_deposed_owner_fails(owner):
    """Guards against two writers of one partition."""
    position = owner.append_numbers(1)
    waiter = asyncio.create_task(owner.journal.wait_durable(position, 5000))
    await asyncio.sleep(0)
    new_owner = Owner(owner.store)
    await new_owner.open(2)
    failure = await owner.journal.flush()
    assert failure.kind is ErrorKind.not_owner
    assert (await waiter).kind is ErrorKind.not_owner
    assert owner.journal.append(object()).kind is ErrorKind.not_owner
    assert (await owner.journal.flush()).kind is ErrorKind.not_owner
    assert await recovered_numbers(owner.store, owner.objects) == []


async def test_delayed_insert_after_a_takeover_has_no_effect(owner):
    """Guards against a record that the new owner has not read."""
    owner.append_numbers(1)
    owner.store.fail_next_commits = [Fault.lose_requests, Fault.down]
    sent = []
    commit = owner.store.commit
    owner.store.commit = lambda transaction: (
        sent.append(transaction),
        commit(transaction),
    )[1]
    await owner.journal.flush()
    new_owner = Owner(MemoryTableStore(owner.store.tables))
    await new_owner.open(2)
    assert isinstance(owner.store.tables.commit(sent[0]), Conflict)
    new_owner.append_numbers(2)
    await new_owner.journal.flush()
    assert (await owner.journal.flush()).kind is ErrorKind.not_owner
    waited = await owner.journal.wait_durable(1, 0)
    assert waited.kind is ErrorKind.not_owner
    assert await recovered_numbers(owner.store, owner.objects) == [2]


async def test_deposed_owner_reports_that_its_last_row_was_written(owner):
    """Guards against reporting "not run" to a caller after a lost answer."""
    position = owner.append_numbers(1)
    owner.store.fail_next_commits = [Fault.lose_answers, Fault.down]
    await owner.journal.flush()
    new_owner = Owner(owner.store)
    await new_owner.open(2)
    new_owner.append_numbers(2)
    await new_owner.journal.flush()
    assert (await owner.journal.flush()).kind is ErrorKind.not_owner
    assert await owner.journal.wait_durable(position, 0) is None
    assert await recovered_numbers(owner.store, owner.objects) == [1, 2]


async def test_cancelled_records_are_never_written(owner):
    """Guards against a refused submission that runs later."""
    owner.append_numbers(1)
    position = owner.append_numbers(2)
    owner.store.fail_next_commits = [Fault.down]
    await owner.journal.flush()
    assert owner.journal.cancel(position)
    owner.append_numbers(3)
    await owner.journal.flush()
    assert await recovered_numbers(owner.store, owner.objects) == [1, 3]


async def test_refusal_ends_with_the_outage_without_records(owner):
    """Guards against an owner that rejects all work after an outage."""
    position = owner.append_numbers(1)
    owner.store.fault = Fault.down
    await owner.journal.flush()
    owner.journal.cancel(position)
    assert (await owner.journal.flush()).kind is ErrorKind.store_unavailable
    assert owner.journal.refusal() is not None
    owner.store.fault = Fault.none
    assert await owner.journal.flush() == FlushResult(0, 0, 0)
    assert owner.journal.refusal() is None


async def test_cancelled_flush_keeps_its_row(owner):
    """Guards against a second row for records of a cancelled flush."""
    owner.append_numbers(1)
    commit = owner.store.commit

    async def commit_without_end(transaction):
        await commit(transaction)
        await asyncio.Event().wait()

    owner.store.commit = commit_without_end
    flush = asyncio.create_task(owner.journal.flush())
    await asyncio.sleep(0)
    flush.cancel()
    await asyncio.gather(flush, return_exceptions=True)
    owner.store.commit = commit
    assert await owner.journal.flush() == FlushResult(1, 1, 1)
    assert await recovered_numbers(owner.store, owner.objects) == [1]


async def test_deposed_owner_of_a_deleted_row_has_an_unknown_outcome(owner):
    """Guards against "not run" when a new owner has deleted the row."""
    position = owner.append_numbers(1)
    owner.store.fail_next_commits = [Fault.lose_answers, Fault.down]
    await owner.journal.flush()
    Owner(owner.store).claim(2)
    tables = owner.store.tables
    tables._tables['journal'].clear()
    tables._tables['snapshots'][PARTITION] = _snapshot_row()
    assert (await owner.journal.flush()).kind is ErrorKind.not_owner
    waited = await owner.journal.wait_durable(position, 0)
    assert waited.kind is ErrorKind.store_outcome_unknown


def _snapshot_row():
    return Row('snapshots', PARTITION, 99, {'object_name': 'x', 'sequence': 1})
