import asyncio
from random import Random

import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId
from radishlift.journal.partition_journal import PartitionJournal
from radishlift.journal.recovery import RecoveryResult, recover
from radishlift.journal.settings import JournalSettings
from radishlift.partitions.partition_log import PartitionLog
from radishlift.partitions.states import PartitionStates
from radishlift.requests.idempotency import IdempotencyTable, RequestIntent
from tests.journal.states import PARTITION, Owner
from tests.standins.tables import Fault, MemoryObjectStore, MemoryTableStore


def intent(key):
    return RequestIntent(key, 'd', DaemonId('a'), f'nonce-{key}', 1)


def make_log(store):
    claim = Owner(store).claim(1)
    recovered = RecoveryResult(1, 0, 0, 0)
    states = PartitionStates((IdempotencyTable,))
    journal = PartitionJournal(
        store, claim, recovered, JournalSettings(), states.dump
    )
    return PartitionLog(journal, states), states.get(IdempotencyTable)


async def commit(log, key):
    """Commits an intent while the journal is flushed once."""
    committing = asyncio.create_task(log.commit([intent(key)], 20))
    await asyncio.sleep(0)
    await log.journal.flush()
    return await committing


async def stored_keys(store):
    states = PartitionStates((IdempotencyTable,))
    await recover(store, MemoryObjectStore(), PARTITION, states.all)
    table = states.get(IdempotencyTable)
    return {key for key in 'abcdefgh' if table.get(key) is not None}


async def test_intent_that_was_not_sent_is_rolled_back():
    """Guards against "outcome unknown" for a record that was never sent."""
    store = MemoryTableStore()
    log, table = make_log(store)
    store.fail_next_commits = [Fault.down]
    refused = await commit(log, 'a')
    assert refused.kind is ErrorKind.store_unavailable
    assert table.get('a') is None
    # The reply to the next row is lost, and the row is sent again.
    store.fail_next_commits = [Fault.lose_answers]
    log.apply([intent('b')])
    await log.journal.flush()
    assert log.journal.durable_position == log.last_position
    assert await stored_keys(store) == {'b'}


async def test_intent_in_flight_is_rolled_back_once_its_row_is_refused():
    """Guards against "outcome unknown" while a row is being refused."""
    store = MemoryTableStore()
    log, table = make_log(store)
    refused = asyncio.Event()
    is_sent = asyncio.Event()

    async def refuse_late(_transaction):
        is_sent.set()
        await refused.wait()
        return Failure(ErrorKind.store_unavailable, 'down')

    store.commit = refuse_late
    committing = asyncio.create_task(log.commit([intent('a')], 0))
    await asyncio.sleep(0)
    flushing = asyncio.create_task(log.journal.flush())
    await is_sent.wait()
    assert not log.journal.cancel(log.last_position)
    refused.set()
    await flushing
    assert (await committing).kind is ErrorKind.store_unavailable
    assert table.get('a') is None


@pytest.mark.parametrize('lost', [Fault.lose_answers, Fault.lose_requests])
async def test_intent_that_may_be_written_is_not_rolled_back(lost):
    """Guards against "not run" for a row that is written, possibly late."""
    store = MemoryTableStore()
    log, table = make_log(store)
    store.fail_next_commits = [lost, Fault.down]
    unknown = await commit(log, 'a')
    assert unknown.kind is ErrorKind.store_outcome_unknown
    assert table.get('a') is not None
    for late in store.lost_requests:
        store.tables.commit(late)
    await log.journal.flush()
    assert await stored_keys(store) == {'a'}


async def test_waiting_for_a_withdrawn_position_ends():
    """Guards against waits that never end or wrongly return "not run"."""
    log, _ = make_log(MemoryTableStore())
    log.apply([intent('a'), intent('b')])
    journal = log.journal
    waiting = asyncio.create_task(journal.wait_durable(2, 5_000))
    await asyncio.sleep(0)
    assert journal.cancel(2)
    assert (await waiting).kind is ErrorKind.store_outcome_unknown
    await journal.flush()
    assert await journal.wait_durable(log.last_position, 0) is None


@pytest.mark.parametrize('seed', range(20))
async def test_refused_intents_never_reach_the_table(seed):
    """Guards against a refused intent that a later row writes."""
    random = Random(seed)
    store = MemoryTableStore()
    log, table = make_log(store)
    refused = set()
    for key in 'abcdefgh':
        faults = list(Fault)
        store.fail_next_commits = random.choices(faults, k=random.randint(0, 4))
        outcome = await commit(log, key)
        kind = outcome.kind if isinstance(outcome, Failure) else None
        if kind is ErrorKind.store_unavailable:
            refused.add(key)
            assert table.get(key) is None
        if random.choice([False, True]):
            for late in store.lost_requests:
                store.tables.commit(late)
            store.lost_requests.clear()
    store.fail_next_commits = []
    await log.journal.flush()
    assert log.journal.refusal() is None
    stored = await stored_keys(store)
    assert stored == set('abcdefgh') - refused
