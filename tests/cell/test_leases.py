"""Tests of leases measured on a target's clock."""

import pytest

from radishlift.cell.leases import TargetLease, inherited_expiry_ms
from radishlift.cell.settings import CellSettings

SETTINGS = CellSettings(lease_share=0.5, clock_drift=0.02, unconfirmed_ms=6000)


@pytest.fixture
def lease():
    return TargetLease(SETTINGS, 6000, inherited_expiry_ms(SETTINGS, 6000, 0))


def test_nothing_is_granted_on_an_unknown_clock(lease):
    assert lease.grant(100) is None


def test_grant_is_on_the_clock_of_the_target(lease):
    lease.update_clock(50_000, received_at_ms=100)
    assert lease.grant(600) == 50_000 + 500 + 3000


def test_lease_expires_only_after_the_slowest_clock_passed_its_end(lease):
    lease.update_clock(50_000, received_at_ms=0)
    lease.grant(0)
    assert not lease.has_expired(3100)
    assert not lease.has_expired(int(3100 / 0.98))
    assert lease.has_expired(int(3100 / 0.98) + 2)


def test_lease_end_never_moves_back(lease):
    lease.update_clock(50_000, received_at_ms=0)
    longest = lease.grant(1000)
    lease.update_clock(49_000, received_at_ms=1000)
    assert lease.grant(1000) == longest


def test_leases_of_the_previous_leader_expire_first(lease):
    expiry_ms = inherited_expiry_ms(SETTINGS, 6000, 0)
    assert expiry_ms >= 6000 + 3000 / 0.98
    assert not lease.has_expired(expiry_ms)
    assert lease.has_expired(expiry_ms + 1)


@pytest.mark.parametrize('is_listed', [False, True])
def test_start_that_a_new_process_accepted_lasts_for_the_longest_lease(
    lease, is_listed
):
    # A clock that begins anew is behind the end that was granted.
    lease.update_clock(50_000, received_at_ms=0)
    lease.open_start(100)
    lease.grant(100)
    lease.close_start(100, taken_at_ms=200)
    lease.record_list(201 if is_listed else 200)
    assert lease.has_expired(4000) is is_listed
    assert lease.has_expired(200 + int(6000 / 0.98)) is is_listed
    assert lease.has_expired(200 + int(6100 / 0.98) + 2)


def test_renewal_prolongs_the_lease_of_an_unlisted_start(lease):
    lease.update_clock(50_000, received_at_ms=0)
    lease.open_start(100)
    lease.close_start(100, taken_at_ms=200)
    lease.grant(1000)
    assert not lease.has_expired(1000 + int(6000 / 0.98))


@pytest.mark.parametrize('is_sent', [False, True])
def test_start_without_a_connection_prolongs_no_lease(lease, is_sent):
    lease.update_clock(50_000, received_at_ms=0)
    lease.open_start(100)
    lease.grant(100)
    assert not lease.has_expired(100 + int(6000 / 0.98))
    lease.close_start(100, 100 if is_sent else None)
    assert lease.has_expired(100 + int(6000 / 0.98)) is not is_sent


def test_new_process_is_granted_no_longer_lease_than_others(lease):
    """Guards against a next leader that takes this lease for expired."""
    lease.update_clock(50_000, received_at_ms=0)
    lease.grant(0)
    lease.begin_process(10, received_at_ms=1000)
    assert lease.grant(1000) == 10 + 3000
    assert not lease.has_expired(1000 + int(6000 / 0.98))


def test_late_call_to_a_later_process_extends_its_lease(lease):
    # The target shortens the end on the earlier clock to the longest lease.
    lease.begin_process(500_000, 0)
    lease.grant(0)
    lease.expect_late_calls(0, 1000)
    lease.record_list(990)
    assert not lease.has_expired(3000 + 6000 - 1)
    # Such a call has no effect once its end has passed on the later clock.
    latest_ms = 1000 + int((500_000 + 3000 + 100) / 0.98)
    assert not lease.has_expired(latest_ms)
    assert lease.has_expired(latest_ms + 2)


def test_lease_of_a_fenced_process_ends_within_the_longest_one(lease):
    lease.begin_process(500_000, 0)
    lease.grant(0)
    lease.expect_late_calls(0, 1000)
    lease.begin_process(10, 1010)
    assert not lease.has_expired(1010 + int(6000 / 0.98))
    assert lease.has_expired(1010 + int(6100 / 0.98) + 2)
