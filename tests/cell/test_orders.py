"""Tests of orders to a target with lost and late answers."""

import asyncio
from types import SimpleNamespace

import pytest

from radishlift.cell.leases import InheritedLeases, TargetLease
from radishlift.cell.orders import TargetOrders
from radishlift.cell.ports import HoldReport, StartOrder, StartVerdict
from radishlift.cell.session_context import SessionContext
from radishlift.cell.settings import CellSettings
from radishlift.cell.unrenewed_leases import UnrenewedLeases
from radishlift.core.clock import BootClock
from radishlift.steps.ids import FencingToken
from radishlift.steps.targets import Target, TargetState
from tests.cell.fakes import FakeTargets
from tests.only import only
from tests.steps.builders import core, entry, key

SETTINGS = CellSettings(hold_retry_ms=5, order_retries_count=2)
ORDER = StartOrder(key(), 1, 'text', 0, FencingToken(3))


class OrdersSetup:
    """Orders to one fake target, and the events the listener received."""

    def __init__(
        self, *, may_renew: bool = True, may_repeat: bool = True
    ) -> None:
        self.calls = FakeTargets('t1')
        self.fake = self.calls['t1']
        self.events = []
        listener = SimpleNamespace(
            on_started=lambda task_key: self.events.append('started'),
            end_term=lambda: self.events.append('fenced'),
        )
        context = SessionContext(
            self.calls,
            listener,
            SETTINGS,
            BootClock(),
            FencingToken(3),
            6000,
            InheritedLeases(0),
            UnrenewedLeases(FencingToken(3), lambda: None),
            lambda: may_renew,
            lambda: may_repeat,
        )
        self.target = Target(entry('t1'))
        self.target.allocate(key(), 1, core())
        self.lease = TargetLease(SETTINGS, 6000, 0)
        self.lease.update_clock(0, 0)
        self.orders = TargetOrders(
            self.target,
            self.lease,
            context,
            lambda: None,
            lambda task_key, attempt, verdict: self.events.append(verdict),
        )

    async def until_resolved(self):
        for _ in range(100):
            await asyncio.sleep(0.002)
            if not self.orders.listing.is_starting(key(), 1):
                return


@pytest.fixture
def setup():
    return OrdersSetup()


async def test_start_reaches_the_target_once(setup):
    setup.orders.start(ORDER)
    await setup.until_resolved()
    assert setup.events == ['started']
    assert len(setup.fake.started) == 1


async def test_start_with_a_lost_answer_is_blocked_and_not_reported(setup):
    setup.fake.loses_answers = True
    setup.orders.start(ORDER)
    await setup.until_resolved()
    assert setup.events == []
    # The end of the stopped attempt will be listed.
    assert [ended.attempt for ended in setup.fake.ended] == [1]
    assert setup.fake.run(ORDER) is StartVerdict.fenced


async def test_late_start_is_blocked_before_the_next_lease(setup):
    setup.fake.is_unresponsive = True
    setup.orders.start(ORDER)
    await asyncio.sleep(0.02)
    assert not await setup.orders.block_unresolved_starts()
    setup.fake.is_unresponsive = False
    assert await setup.orders.block_unresolved_starts()
    assert setup.fake.run(setup.fake.late[0]) is StartVerdict.fenced
    setup.orders.close()


@pytest.mark.parametrize(
    'verdict',
    [StartVerdict.bad_ticket, StartVerdict.no_room, StartVerdict.refused],
)
async def test_refused_start_never_runs(setup, verdict):
    setup.fake.rejection = verdict
    setup.orders.start(ORDER)
    await setup.until_resolved()
    assert setup.events == [verdict]


@pytest.mark.parametrize('is_sent', [True, False])
async def test_start_that_could_not_be_sent_is_not_recorded(setup, is_sent):
    setup.fake.is_unresponsive = True
    setup.fake.refuses_connections = not is_sent
    setup.orders.start(ORDER)
    await asyncio.sleep(0.02)
    allocation = setup.target.allocations[key()]
    assert (allocation.sent_at_ms is not None) is is_sent
    setup.orders.close()


async def test_start_without_a_connection_ends_before_the_lease(setup):
    setup.fake.refuses_connections = True
    setup.orders.start(ORDER)
    await setup.until_resolved()
    assert setup.events == [StartVerdict.refused]
    assert not setup.fake.blocked


async def test_start_without_an_answer_is_blocked_if_repeats_do_not_connect(
    setup,
):
    setup.fake.loses_answers = True
    setup.orders.start(ORDER)
    while not setup.fake.started:
        await asyncio.sleep(0)
    setup.fake.refuses_connections = True
    await setup.until_resolved()
    assert setup.events == []
    assert setup.fake.run(ORDER) is StartVerdict.fenced


async def test_draining_target_gets_no_start(setup):
    setup.target.entry = entry('t1', state=TargetState.draining)
    setup.orders.start(ORDER)
    await setup.until_resolved()
    assert setup.events == [StartVerdict.refused]
    assert not setup.fake.started


async def test_start_is_not_repeated_after_the_capacity_shrank(setup):
    setup.fake.is_unresponsive = True
    setup.orders.start(ORDER)
    while not setup.fake.late:
        await asyncio.sleep(0)
    setup.target.update_entry(entry('t1', cores=0))
    await asyncio.sleep(0.02)
    assert len(setup.fake.late) == 1
    setup.orders.close()


async def test_later_leader_fences_this_one(setup):
    setup.fake.fencing_token = 4
    setup.orders.start(ORDER)
    await asyncio.sleep(0.02)
    assert setup.events == ['fenced']
    assert not setup.fake.started


async def test_cleared_start_is_not_repeated(setup):
    setup.orders.start(ORDER)
    setup.orders.listing.clear()
    await asyncio.sleep(0.02)
    assert not setup.fake.started


@pytest.mark.parametrize('may_renew', [False, True])
async def test_start_of_an_unconfirmed_leader_renews_no_lease(may_renew):
    setup = OrdersSetup(may_renew=may_renew)
    setup.orders.start(ORDER)
    await setup.until_resolved()
    assert (only(setup.fake.started).until_ms > 0) is may_renew


async def test_start_is_not_repeated_after_its_attempt_has_ended(setup):
    """Guards against a new process that runs a task again after its end."""
    setup.fake.loses_answers = True
    setup.calls.answer_s = 0.02
    setup.orders.start(ORDER)
    await asyncio.sleep(0.01)
    setup.target.release(key(), 1)
    setup.orders.listing.forget(key(), 1)
    setup.fake.restart()
    await asyncio.sleep(0.08)
    assert len(setup.fake.attempted) == 1
    assert not setup.events


async def test_start_is_not_repeated_after_its_stop(setup):
    """Guards against a new process that runs a task of a cancelled job."""
    setup.fake.loses_answers = True
    setup.calls.answer_s = 0.02
    setup.orders.start(ORDER)
    await asyncio.sleep(0.01)
    setup.orders.stop(key(), 1)
    await asyncio.sleep(0.005)
    setup.fake.restart()
    await setup.until_resolved()
    assert not setup.fake.running
    assert len(setup.fake.started) == 1
    setup.orders.close()


async def test_start_is_not_repeated_while_another_daemon_may_lead():
    """Guards against a resumed leader that repeats a start after the end."""
    setup = OrdersSetup(may_repeat=False)
    setup.fake.loses_answers = True
    setup.orders.start(ORDER)
    await setup.until_resolved()
    assert len(setup.fake.attempted) == 1
    assert setup.fake.blocked == {key(): 1}


async def test_stop_is_not_repeated_after_its_attempt_has_ended(setup):
    """Guards against calls that go on until the lease has expired."""
    setup.fake.is_unresponsive = True
    setup.lease.grant(BootClock().monotonic_ms())
    setup.orders.stop(key(), 1)
    await asyncio.sleep(0.02)
    setup.orders.listing.forget(key(), 1)
    await asyncio.sleep(0.02)
    sent_count = setup.fake.stops_count
    await asyncio.sleep(0.03)
    assert sent_count > 1
    assert setup.fake.stops_count == sent_count


async def test_late_end_of_an_attempt_leaves_the_next_one_expected(setup):
    """Guards against a later attempt that counts as lost while it runs."""
    listing = setup.orders.listing
    setup.target.release(key(), 1)
    setup.target.allocate(key(), 2, core())
    listing.expect_start(key(), 2)
    listing.forget(key(), 1)
    assert listing.may_start(key(), 2)
    listing.finish_start(key(), 2, now_ms=50)
    listing.forget(key(), 1)
    report = HoldReport(0, None, (), (), 0)
    assert not list(listing.list_missing(report, 40))


async def test_start_that_is_withdrawn_before_it_is_sent_counts_against_nobody(
    setup,
):
    """Guards against a cooldown of targets whose gang or job was stopped."""
    setup.orders.listing.expect_start(key(), 1)
    setup.orders.start(ORDER)
    setup.orders.stop(key(), 1)
    await setup.until_resolved()
    assert not setup.fake.attempted
    assert setup.events == [StartVerdict.late]
