"""Tests of telling entries that were removed from entries that expired."""

import pytest

from radishlift.cell.entry_writes import EntryWrites
from radishlift.steps.ids import TargetId

TARGET = TargetId('t1')


@pytest.fixture
def writes():
    """An entry that was written between 1000 and 1100 ms."""
    writes = EntryWrites(heartbeat_ms=1500)
    writes.record_read(1000)
    writes.record_write(TARGET)
    writes.record_read(1100)
    return writes


@pytest.mark.parametrize(
    ('now_ms', 'is_deliberate'), [(1200, True), (3999, True), (4000, False)]
)
def test_entry_that_may_have_expired_was_not_removed_for_certain(
    writes, now_ms, is_deliberate
):
    assert writes.is_deliberate(TARGET, now_ms) is is_deliberate


@pytest.mark.parametrize(
    ('now_ms', 'is_deliberate'), [(1999, False), (2000, True), (4000, False)]
)
def test_entry_of_a_target_that_has_to_stay_was_not_removed_by_it(
    writes, now_ms, is_deliberate
):
    remaining_ms = 1000
    assert writes.is_deliberate(TARGET, now_ms, remaining_ms) is is_deliberate


def test_write_before_an_outage_proves_nothing(writes):
    writes.record_outage()
    assert not writes.is_deliberate(TARGET, 1200)


def test_write_that_is_read_after_an_outage_may_be_old(writes):
    # The outage ends before its writes are read.
    writes.record_outage()
    writes.record_write(TARGET)
    writes.record_read(5000)
    assert not writes.is_deliberate(TARGET, 5100)


def test_write_counts_for_one_removal_only(writes):
    assert writes.is_deliberate(TARGET, 1200)
    writes.forget(TARGET)
    assert not writes.is_deliberate(TARGET, 1200)


def test_nothing_is_certain_without_a_heartbeat_interval():
    writes = EntryWrites(0)
    writes.record_read(1000)
    writes.record_write(TARGET)
    assert not writes.is_deliberate(TARGET, 1000)
