import asyncio
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies

from radishlift.core.errors import ErrorKind, Failure
from radishlift.requests.slot_policy import SlotDemand, fair_shares, plan_change
from radishlift.services.api import HostState
from tests.requests.fakes import (
    MAX_DEADLINE_MS,
    SERVICE,
    Cell,
    FakeHosts,
    executor_ids,
)
from tests.requests.slot_simulation import STEPS, random_steps, run_steps
from tests.standins.tables import Fault


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    strategies.integers(0, 10_000),
    strategies.lists(strategies.sampled_from(STEPS), min_size=5, max_size=60),
)
def test_usable_slots_never_exceed_the_executor(seed, steps):
    """Guards against overload by claims, deaths and lost answers."""
    assert not asyncio.run(run_steps(seed, steps))


def _restore_at_once(slots):
    # Treats the old version as final although the commit may still apply.
    commit = slots.writer._commit

    async def trusting(view, transaction, *, is_first):
        outcome = await commit(view, transaction, is_first=is_first)
        view.update(view.version, view.row, slots.owner)
        return outcome

    slots.writer._commit = trusting


def _reclaim_at_once(slots):
    slots._dead_owners._limits = type('Limits', (), {'longest_deadline_ms': 0})


def _ignore_conditions(slots):
    slots.writer._store = _Unconditional(slots.writer._store)


class _Unconditional:
    def __init__(self, store) -> None:
        self._store = store

    async def commit(self, transaction):
        return await self._store.commit(replace(transaction, conditions=()))


@pytest.mark.parametrize(
    'change', [_restore_at_once, _reclaim_at_once, _ignore_conditions]
)
def test_simulation_finds_broken_allotments(change):
    """The simulation must find each of these faults."""
    exceeded = (
        asyncio.run(run_steps(seed, random_steps(seed, 60), change))
        for seed in range(300)
    )
    assert any(exceeded)


async def _synced_daemons(cell, names, wanted, passes=12):
    daemons = [cell.allotments(name) for name in names]
    for _ in range(passes):
        await _sync(cell, daemons, wanted)
    return daemons


async def _synced_daemon(cell, wanted):
    daemons = await _synced_daemons(cell, 'a', wanted)
    return daemons[0]


async def _sync(cell, daemons, wanted):
    cell.clock.advance(500)
    for slots in daemons:
        slots.wanted_counts = {SERVICE: wanted}
        await slots.targets.refresh()
        await slots.sync()


async def test_slots_follow_demand_and_then_rest():
    """Slots must move by demand, and a small change must cause no write."""
    cell = Cell(hosts=FakeHosts(executor_ids(24)))
    daemons = await _synced_daemons(
        cell, 'abcdefg', dict.fromkeys('abcdefg', 1)
    )
    assert sum(daemon.held_count(SERVICE) for daemon in daemons) == 192
    skewed = dict.fromkeys('abcdefg', 20) | {'a': 80}
    for _ in range(20):
        await _sync(cell, daemons, skewed)
    assert daemons[0].held_count(SERVICE) >= 70
    before = cell.store.tables.write_count
    await _sync(cell, daemons, skewed | {'b': 22})
    assert cell.store.tables.write_count == before


async def test_frozen_daemon_keeps_its_slots():
    """Slots of a paused daemon must not be freed by a timeout."""
    cell = Cell(hosts=FakeHosts(executor_ids(2)))
    frozen, other = await _synced_daemons(cell, 'ab', {'a': 8, 'b': 8})
    held = frozen.held_count(SERVICE)
    for _ in range(20):
        await _sync(cell, [other], {'b': 30})
    assert held == 8
    assert other.held_count(SERVICE) == 8


@pytest.mark.parametrize(
    ('since_ms', 'expected'), [(0, 8), (MAX_DEADLINE_MS, 16)]
)
async def test_slots_of_the_dead_return_after_the_deadline(since_ms, expected):
    """Slots of a dead daemon must not be reused while its requests run."""
    cell = Cell(hosts=FakeHosts(executor_ids(2)))
    _, other = await _synced_daemons(cell, 'ab', {'a': 8, 'b': 8})
    cell.members.dead.add(('a', '1'))
    await other.sync()
    cell.clock.advance(since_ms)
    for _ in range(3):
        await _sync(cell, [other], {'b': 30})
    assert other.held_count(SERVICE) == expected


async def test_refused_connection_returns_no_slots():
    """A daemon behind a network that rejects connections still sends."""
    cell = Cell(hosts=FakeHosts(executor_ids(2)))
    _, other = await _synced_daemons(cell, 'ab', {'a': 8, 'b': 8})
    cell.members.refused.add(('a', '1'))
    await other.sync()
    cell.clock.advance(MAX_DEADLINE_MS)
    for _ in range(3):
        await _sync(cell, [other], {'b': 30})
    assert other.held_count(SERVICE) == 8


async def test_restarted_daemon_does_not_use_its_earlier_slots():
    """A restarted daemon must not use the slots of requests that still run."""
    cell = Cell(hosts=FakeHosts(executor_ids(1)))
    await _synced_daemons(cell, 'a', {'a': 8})
    cell.members.dead.add(('a', '1'))
    restarted = cell.allotments('a', '2')
    await _sync(cell, [restarted], {'a': 8})
    assert restarted.held_count(SERVICE) == 0
    cell.clock.advance(MAX_DEADLINE_MS)
    for _ in range(3):
        await _sync(cell, [restarted], {'a': 8})
    assert restarted.held_count(SERVICE) == 8


@pytest.mark.parametrize('state', [HostState.leaving, None])
async def test_leaving_executor_gets_nothing_and_its_slots_return(state):
    """A leaving or removed executor must get no new requests."""
    cell = Cell(hosts=FakeHosts(executor_ids(2)))
    slots = await _synced_daemon(cell, {'a': 16})
    leaving, staying = executor_ids(2)
    cell.hosts.states[leaving] = state
    if state is None:
        cell.hosts.states.pop(leaving)
    await slots.targets.refresh()
    taken = [slots.take_slot(SERVICE) for _ in range(9)]
    assert {view.executor_id for view in taken if view} == {staying}
    await _sync(cell, [slots], {'a': 16})
    row = await cell.store.read('slots', leaving)
    assert not (row.value or {}).get('allotments')


async def test_paused_process_sends_nothing_before_it_rereads_the_list():
    """After a pause no request may go to an executor that left meanwhile."""
    cell = Cell(hosts=FakeHosts(executor_ids(1)))
    slots = await _synced_daemon(cell, {'a': 8})
    cell.clock.advance(1_701)
    assert slots.take_slot(SERVICE) is None
    assert not slots.idle_count(SERVICE)
    # A failed read does not show which hosts left meanwhile.
    cell.hosts.is_down = True
    await slots.targets.refresh()
    assert slots.take_slot(SERVICE) is None
    cell.hosts.is_down = False
    await slots.targets.refresh()
    assert slots.take_slot(SERVICE) is not None


async def test_outage_leaves_held_slots_usable():
    """An outage of the table service must not make held slots unusable."""
    cell = Cell(hosts=FakeHosts(executor_ids(1)))
    slots = await _synced_daemon(cell, {'a': 8})
    cell.store.fault = Fault.down
    failure = await slots.sync()
    assert isinstance(failure, Failure)
    assert failure.kind is ErrorKind.store_unavailable
    assert slots.take_slot(SERVICE) is not None


async def test_lowered_slots_return_the_excess():
    """Daemons must return slots when the document lowers their number."""
    cell = Cell(hosts=FakeHosts(executor_ids(2)))
    daemons = await _synced_daemons(cell, 'abc', dict.fromkeys('abc', 8))
    cell.config.service = replace(cell.config.service, slots_count=3)
    for _ in range(3):
        await _sync(cell, daemons, dict.fromkeys('abc', 8))
    held = [daemon.held_count(SERVICE) for daemon in daemons]
    assert sum(held) == 6


def test_shares_use_the_whole_pool_without_exceeding_it():
    """Rounding must neither lose slots nor add any."""
    for pool_count in (0, 5, 100):
        demands = {name: SlotDemand(0, 7) for name in 'abc'}
        assert sum(fair_shares(demands, pool_count).values()) == pool_count


def test_small_surplus_moves_nothing():
    """A small surplus must not move slots back and forth."""
    demands = {'a': SlotDemand(11, 10), 'b': SlotDemand(9, 10)}
    assert plan_change('a', demands, 20, 0.15, 2) == 0
