"""Tests of the stored list of leases that a leader does not renew."""

import asyncio

import pytest

from radishlift.cell.unrenewed_leases import UnrenewedLeases, load_remaining_ms
from radishlift.services.api import Row
from radishlift.steps.ids import FencingToken, TargetId
from tests.only import only

EPOCH = FencingToken(3)
TARGET = TargetId('t1')


@pytest.fixture
def leases():
    leases = UnrenewedLeases(EPOCH, lambda: None)
    leases.load([TARGET])
    return leases


async def test_lease_is_not_renewed_while_the_stored_list_has_it(leases):
    waiting = asyncio.create_task(leases.wait_removed(TARGET))
    await asyncio.sleep(0)
    leases.start_write()
    await asyncio.sleep(0)
    assert not waiting.done()
    leases.finish_write()
    await asyncio.wait_for(waiting, 1)


async def test_write_in_progress_does_not_hide_a_lease_that_it_lists(leases):
    leases.list_remaining_ms = lambda: {TARGET: 100}
    leases.start_write()
    leases.list_remaining_ms = dict
    waiting = asyncio.create_task(leases.wait_removed(TARGET))
    await asyncio.sleep(0)
    leases.finish_write()
    await asyncio.sleep(0)
    assert not waiting.done()
    leases.start_write()
    leases.finish_write()
    await asyncio.wait_for(waiting, 1)


@pytest.mark.parametrize(('epoch', 'count'), [(4, 1), (5, 0)])
def test_list_from_before_the_previous_leader_is_not_trusted(
    leases, epoch, count
):
    leases.list_remaining_ms = lambda: {TARGET: 100}
    write = only(leases.start_write())
    row = Row(write.table, write.key, 1, write.value)
    assert len(load_remaining_ms(row, FencingToken(epoch))) == count


def test_each_leader_replaces_the_list_of_its_predecessor():
    leases = UnrenewedLeases(EPOCH, lambda: None)
    assert only(leases.start_write()).value['epoch'] == EPOCH
    leases.finish_write()
    assert not leases.start_write()
