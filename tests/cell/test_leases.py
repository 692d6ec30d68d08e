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
