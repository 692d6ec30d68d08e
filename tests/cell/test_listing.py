"""Tests of the comparison of a target's lists with its bookings."""

import pytest

from radishlift.cell.listing import ExpectedListing
from radishlift.steps.targets import Target
from tests.steps.builders import core, entry, key


@pytest.fixture
def target():
    target = Target(entry())
    target.allocate(key(), 2, core())
    return target


def test_attempt_under_way_may_be_missing(target):
    listing = ExpectedListing(target)
    listing.expect(key(), 2)
    assert not list(listing.missing(set(), 100))


@pytest.mark.parametrize(
    ('asked_at_ms', 'missing'), [(50, []), (51, [(key(), 2)])]
)
def test_only_lists_asked_for_after_the_start_count(
    target, asked_at_ms, missing
):
    listing = ExpectedListing(target)
    listing.expect(key(), 2)
    listing.settle(key(), 2, now_ms=50)
    assert list(listing.missing(set(), asked_at_ms)) == missing


def test_listed_attempt_is_not_missing(target):
    assert not list(ExpectedListing(target).missing({key()}, 100))


def test_later_expectation_survives_the_settling_of_an_earlier_one(target):
    listing = ExpectedListing(target)
    listing.expect(key(), 2)
    listing.settle(key(), 1, now_ms=50)
    assert listing.is_starting(key(), 2)
