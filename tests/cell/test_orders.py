"""Tests of orders to a target, with answers lost and late."""

import asyncio
from types import SimpleNamespace

import pytest

from radishlift.cell.clock import BootClock
from radishlift.cell.leases import TargetLease
from radishlift.cell.orders import TargetOrders
from radishlift.cell.ports import StartOrder, StartVerdict
from radishlift.cell.session_context import SessionContext
from radishlift.cell.settings import CellSettings
from radishlift.steps.ids import FencingToken
from radishlift.steps.targets import Target, TargetState
from tests.cell.fakes import FakeTargets
from tests.steps.builders import core, entry, key

SETTINGS = CellSettings(hold_retry_ms=5, order_retries_count=2)
ORDER = StartOrder(key(), 1, 'text', 0, FencingToken(3))


class Bench:
    """Orders to one fake target, and what the listener was told."""

    def __init__(self) -> None:
        self.calls = FakeTargets('t1')
        self.fake = self.calls['t1']
        self.told = []
        listener = SimpleNamespace(
            on_started=lambda one: self.told.append('started'),
            on_fenced=lambda: self.told.append('fenced'),
        )
        context = SessionContext(
            self.calls,
            listener,
            SETTINGS,
            BootClock(),
            FencingToken(3),
            6000,
            lambda: True,
        )
        self.target = Target(entry('t1'))
        self.target.allocate(key(), 1, core())
        lease = TargetLease(SETTINGS, 6000, 0)
        self.orders = TargetOrders(
            self.target,
            lease,
            context,
            lambda: None,
            lambda one, attempt, verdict: self.told.append(verdict),
        )

    async def settle(self):
        for _ in range(100):
            await asyncio.sleep(0.002)
            if not self.orders.listing.is_starting(key(), 1):
                return


@pytest.fixture
def bench():
    return Bench()


async def test_start_reaches_the_target_once(bench):
    bench.orders.start(ORDER)
    await bench.settle()
    assert bench.told == ['started']
    assert len(bench.fake.started) == 1


async def test_start_with_a_lost_answer_is_barred_and_not_told_as_unsent(bench):
    bench.fake.loses_answers = True
    bench.orders.start(ORDER)
    await bench.settle()
    assert bench.told == []
    # The end of the stopped attempt will be listed.
    assert [one.attempt for one in bench.fake.ended] == [1]
    assert bench.fake.run(ORDER) is StartVerdict.superseded


async def test_late_start_is_barred_before_the_next_lease(bench):
    bench.fake.is_silent = True
    bench.orders.start(ORDER)
    await asyncio.sleep(0.02)
    assert not await bench.orders.bar_doubtful()
    bench.fake.is_silent = False
    assert await bench.orders.bar_doubtful()
    assert bench.fake.run(bench.fake.late[0]) is StartVerdict.superseded
    bench.orders.close()


@pytest.mark.parametrize(
    'verdict',
    [StartVerdict.bad_ticket, StartVerdict.no_room, StartVerdict.refused],
)
async def test_refused_start_never_runs(bench, verdict):
    bench.fake.refusal = verdict
    bench.orders.start(ORDER)
    await bench.settle()
    assert bench.told == [verdict]


async def test_draining_target_gets_no_start(bench):
    bench.target.entry = entry('t1', state=TargetState.draining)
    bench.orders.start(ORDER)
    await bench.settle()
    assert bench.told == [StartVerdict.refused]
    assert not bench.fake.started


async def test_later_leader_fences_this_one(bench):
    bench.fake.fence = 4
    bench.orders.start(ORDER)
    await asyncio.sleep(0.02)
    assert bench.told == ['fenced']
    assert not bench.fake.started


async def test_given_up_start_is_not_repeated(bench):
    bench.orders.start(ORDER)
    bench.orders.listing.clear()
    await asyncio.sleep(0.02)
    assert not bench.fake.started
