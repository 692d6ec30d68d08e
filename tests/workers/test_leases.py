import pytest

from radishlift.workers.leases import (
    PreviousOwners,
    WorkerClock,
    lease_expiry_bound_ms,
)

LEASE_MS = 10_000


@pytest.mark.parametrize(
    ('observed_at_ms', 'lease_ms', 'bound_ms'),
    [(0, 10_000, 10_500), (7, 10_000, 10_507), (0, 1, 2), (0, 101, 107)],
)
def test_bound_adds_the_rate_margin_rounded_up(
    observed_at_ms, lease_ms, bound_ms
):
    """Guards against a bound before the expiry in a slower worker clock."""
    assert lease_expiry_bound_ms(observed_at_ms, lease_ms) == bound_ms


def test_answers_out_of_order_keep_the_latest_clock():
    """Guards against a bound computed from the receipt of an older clock."""
    clock = WorkerClock()
    assert clock.expiry_bound_ms(LEASE_MS) == 0
    clock.observe(500, received_at_ms=20)
    clock.observe(400, received_at_ms=90)
    assert clock.lease_until_ms(LEASE_MS) == 10_500
    assert clock.expiry_bound_ms(LEASE_MS) == 10_520


def test_no_bound_while_a_previous_owner_may_renew():
    """Guards against ending the leases of a paused owner by time alone."""
    owners = PreviousOwners((1, 2))
    owners.observe_stopped(2, at_ms=0, lease_ms=LEASE_MS)
    assert owners.unconfirmed_epochs == (1,)
    assert not owners.have_expired(10**9)
    owners.observe_stopped(1, at_ms=1000, lease_ms=LEASE_MS)
    assert not owners.have_expired(11_499)
    assert owners.have_expired(11_500)


def test_later_observation_keeps_the_first_bound():
    """Guards against a bound that repeated observations postpone."""
    owners = PreviousOwners((1,))
    owners.observe_stopped(1, at_ms=0, lease_ms=LEASE_MS)
    owners.observe_stopped(1, at_ms=9000, lease_ms=LEASE_MS)
    assert owners.expired_epochs(10_500) == (1,)
