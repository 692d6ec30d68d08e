"""Tests of the election of the leader."""

import asyncio
from contextlib import suppress
from dataclasses import replace

import pytest

from radishlift.cell.fences import TOKENS_PER_TERM, last_token
from radishlift.cell.leadership import CellView, Leadership
from radishlift.cell.settings import CellSettings
from radishlift.cell.table_follower import FollowedTable, TableFollower
from radishlift.cell.tables import CELL, HEARTBEAT_KEY, LEADER_KEY
from radishlift.core.clock import BootClock, ManualClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DaemonId
from radishlift.services.api import Row, Transaction, Write
from radishlift.steps.ids import FencingToken
from tests.cell.fakes import MemoryCellStore
from tests.standins.conditions import until
from tests.standins.tables import Fault

SETTINGS = CellSettings(
    silence_ms=150,
    claim_stagger_ms=60,
    first_claim_ms=60,
    short_wait_ms=20,
    feed_retry_ms=5,
)


class Candidate:
    """A daemon that tries to become leader."""

    def __init__(self, name, store, settings=SETTINGS):
        clock = BootClock()
        self.store = store
        self.view = CellView(clock)
        self.leadership = Leadership(
            DaemonId(name), store, self.view, settings, clock
        )
        self.follower = TableFollower(
            store, FollowedTable(CELL, wait_ms=20), settings, clock
        )
        self.follower.on_regained = self.view.exclude_outage
        self.following = asyncio.create_task(
            self.follower.run(self.view.replace, self.view.update),
        )
        self.claim = asyncio.create_task(
            self.leadership.wait_for_claim(self.follower),
        )

    async def close(self):
        for task in (self.following, self.claim):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task


@pytest.fixture
async def cell():
    store = MemoryCellStore()
    candidates = []

    async def add(name, leader_rank=10, settings=SETTINGS):
        candidate = Candidate(name, store, settings)
        await candidate.leadership.register(Address('127.0.0.1:1'), leader_rank)
        candidates.append(candidate)
        return candidate

    yield store, add
    for candidate in candidates:
        await candidate.close()


def write_heartbeat(store):
    store.tables.commit(Transaction((), (Write(CELL, HEARTBEAT_KEY, {}),)))


async def test_exactly_one_daemon_leads(cell):
    store, add = cell
    candidates = [await add(name) for name in ('d1', 'd2', 'd3')]
    end = asyncio.get_running_loop().time() + 0.6
    while asyncio.get_running_loop().time() < end:
        if any(candidate.claim.done() for candidate in candidates):
            write_heartbeat(store)
        await asyncio.sleep(0.02)
    assert sum(candidate.claim.done() for candidate in candidates) == 1
    leader = store.tables.read(CELL, LEADER_KEY)
    assert leader.value['epoch'] == last_token(FencingToken(1))


async def test_unresponsive_leader_is_replaced_with_a_higher_epoch(cell):
    _, add = cell
    first = await add('d1')
    await asyncio.wait_for(first.claim, 2)
    second = await add('d2')
    claim = await asyncio.wait_for(second.claim, 2)
    assert claim.epoch == 1 + TOKENS_PER_TERM


async def test_claim_dates_from_before_its_answer(cell, monkeypatch):
    """Guards against a suspended leader that counts as confirmed."""
    store, add = cell
    commit = store.commit
    claimed_at_ms = []

    async def delay_answer(transaction):
        outcome = await commit(transaction)
        claimed_at_ms.append(BootClock().monotonic_ms())
        await asyncio.sleep(0.1)
        return outcome

    candidate = await add('d1')
    monkeypatch.setattr(store, 'commit', delay_answer)
    claim = await asyncio.wait_for(candidate.claim, 2)
    assert claim.claimed_at_ms <= claimed_at_ms[0]


async def test_leader_that_steps_down_is_replaced_at_once(cell):
    _, add = cell
    first = await add('d1')
    claim = await asyncio.wait_for(first.claim, 2)
    second = await add('d2')
    await asyncio.sleep(0.03)
    await first.leadership.release(claim)
    await asyncio.wait_for(second.claim, 0.4)


@pytest.mark.parametrize('new_leader', ['d1', 'd2'])
async def test_restarted_leader_is_replaced_at_once(cell, new_leader):
    """Guards against waiting out the silence of a leader that restarted.

    After a power loss on all hosts there is no time for that.
    """
    _, add = cell
    long_silence = replace(SETTINGS, silence_ms=60_000)
    first = await add('d1')
    await asyncio.wait_for(first.claim, 2)
    await first.close()
    await first.leadership.register(Address('127.0.0.1:1'), 10)
    second = await add(new_leader, settings=long_silence)
    claim = await asyncio.wait_for(second.claim, 2)
    assert claim.epoch == 1 + TOKENS_PER_TERM


async def test_running_leader_is_not_replaced_early(cell):
    _, add = cell
    long_silence = replace(SETTINGS, silence_ms=60_000)
    first = await add('d1')
    await asyncio.wait_for(first.claim, 2)
    second = await add('d2', settings=long_silence)
    await asyncio.sleep(0.3)
    assert not second.claim.done()


async def test_unreachable_store_does_not_replace_the_leader(cell):
    store, add = cell
    first = await add('d1')
    await asyncio.wait_for(first.claim, 2)
    second = await add('d2')
    await asyncio.sleep(0.05)
    store.fault = Fault.down
    await asyncio.sleep(0.5)
    assert second.leadership.state == 'following'
    assert not second.claim.done()


@pytest.mark.parametrize('is_first', [True, False])
async def test_daemon_with_the_highest_rank_leads_first(cell, is_first):
    _, add = cell
    if not is_first:
        leader = await add('d0')
        claim = await asyncio.wait_for(leader.claim, 2)
    low = await add('d1', 5)
    high = await add('d2', 400)
    if not is_first:
        await leader.leadership.release(claim)
    await asyncio.wait_for(high.claim, 2)
    assert not low.claim.done()


async def test_daemons_notice_at_once_that_the_leader_steps_down(
    cell, monkeypatch
):
    """Guards against claims at the next periodic check of each daemon.

    A daemon of low rank whose check came first would lead.
    """
    _, add = cell
    leader = await add('d0')
    claim = await asyncio.wait_for(leader.claim, 2)
    monkeypatch.setattr('radishlift.cell.leadership._CHECK_INTERVAL_MS', 60_000)
    low = await add('d1', 5)
    high = await add('d2', 400)
    await until(lambda: leader.view.leader_id and high.view.leader_id)
    await leader.leadership.release(claim)
    await asyncio.wait_for(high.claim, 2)
    assert not low.claim.done()


@pytest.mark.parametrize('fault', [Fault.lose_answers])
async def test_claim_with_a_lost_answer_is_confirmed_by_a_read(cell, fault):
    store, add = cell
    candidate = await add('d1')
    store.fail_next_commits = [fault]
    claim = await asyncio.wait_for(candidate.claim, 2)
    row = store.tables.read(CELL, LEADER_KEY)
    assert claim.leader_version == row.version


async def test_claim_is_confirmed_after_an_outage_that_hides_its_answer(
    cell, monkeypatch
):
    """Guards against a daemon that has claimed the lead and does not use it.

    While the store is held for lost, the read of the claim is refused at once.
    """
    store, add = cell
    commit = store.commit
    candidate = await add('d1')

    async def lose_store(transaction):
        await commit(transaction)
        store.fault = Fault.down
        return Failure(ErrorKind.store_outcome_unknown, 'no answer')

    monkeypatch.setattr(store, 'commit', lose_store)
    await until(lambda: store.fault is Fault.down)
    monkeypatch.setattr(store, 'commit', commit)
    await asyncio.sleep(0.05)
    store.fault = Fault.none
    claim = await asyncio.wait_for(candidate.claim, 2)
    assert claim.epoch == 1


def test_snapshot_of_the_same_rows_is_no_sign_of_the_leader():
    """Guards against a dead leader that each dropped history keeps alive."""
    clock = ManualClock()
    view = CellView(clock)
    rows = (
        Row(CELL, LEADER_KEY, 1, {'daemon': 'd1', 'epoch': 1}),
        Row(CELL, HEARTBEAT_KEY, 2, {}),
    )
    clock.now_ms = 1000
    view.replace(rows)
    clock.now_ms = 2000
    view.replace(rows)
    assert view.heartbeat_at_ms == 1000
    clock.now_ms = 3000
    view.replace((rows[0], Row(CELL, HEARTBEAT_KEY, 3, {})))
    assert view.heartbeat_at_ms == 3000


async def test_outage_of_the_store_does_not_count_as_silence_of_the_leader(
    cell,
):
    """Guards against a takeover after each outage of the store.

    The first heartbeat after the outage is later than the first read.
    """
    store, add = cell
    first = await add('d1')
    await asyncio.wait_for(first.claim, 2)
    second = await add('d2')
    await until(lambda: second.view.leader_id)
    write_heartbeat(store)
    await asyncio.sleep(0.02)
    store.fault = Fault.down
    await asyncio.sleep(0.5)
    store.fault = Fault.none
    for _ in range(4):
        await asyncio.sleep(0.11)
        assert not second.claim.done()
        write_heartbeat(store)
    await asyncio.wait_for(second.claim, 2)


async def test_daemons_that_claim_late_read_the_cell_less_often(cell):
    """Guards against calls of many daemons for each heartbeat.

    The sum of rest and wait stays below the silence after which they claim.
    """
    _, add = cell
    settings = CellSettings(first_claim_ms=60_000)
    candidates = [
        await add(f'd{number:02}', settings=settings) for number in range(20)
    ]
    await until(lambda: len(candidates[0].view.daemons()) == 20)
    await until(lambda: len(candidates[-1].view.daemons()) == 20)
    rests_ms = [
        candidate.leadership.choose_rest_ms()
        for candidate in (candidates[0], candidates[6], candidates[7])
    ]
    assert rests_ms == [0, 0, 420]
    longest_ms = candidates[-1].leadership.choose_rest_ms()
    assert longest_ms == settings.max_rest_ms
    assert longest_ms < settings.short_wait_ms
    assert settings.short_wait_ms < settings.silence_ms
    candidates[-1].leadership.claim()
    candidates[-1].leadership.win()
    assert not candidates[-1].leadership.choose_rest_ms()
