"""Tests of the comparison of a target's lists with its allocations."""

import pytest

from radishlift.cell.listing import ExpectedListing
from radishlift.cell.ports import EndedAttempt, HoldReport, RunningAttempt
from radishlift.steps.endings import EndKind
from radishlift.steps.targets import Target
from tests.steps.builders import core, entry, key


@pytest.fixture
def target():
    target = Target(entry())
    target.allocate(key(), 2, core())
    return target


def report(*running):
    attempts = tuple(RunningAttempt(task, 2, '') for task in running)
    return HoldReport(0, None, attempts, (), 0)


def test_starting_attempt_may_be_missing(target):
    listing = ExpectedListing(target)
    listing.expect_start(key(), 2)
    assert not list(listing.list_missing(report(), 100))


@pytest.mark.parametrize(
    ('requested_at_ms', 'missing'), [(50, []), (51, [(key(), 2)])]
)
def test_only_lists_asked_for_after_the_start_count(
    target, requested_at_ms, missing
):
    listing = ExpectedListing(target)
    listing.expect_start(key(), 2)
    listing.finish_start(key(), 2, now_ms=50)
    assert list(listing.list_missing(report(), requested_at_ms)) == missing


def test_listed_attempt_is_not_missing(target):
    assert not list(ExpectedListing(target).list_missing(report(key()), 100))


def test_end_of_an_earlier_start_keeps_a_later_one_expected(target):
    listing = ExpectedListing(target)
    listing.expect_start(key(), 2)
    listing.finish_start(key(), 1, now_ms=50)
    assert listing.is_starting(key(), 2)


def test_repeated_end_of_an_earlier_attempt_loses_no_later_one(target):
    # The list was requested before the later attempt started.
    listing = ExpectedListing(target)
    listing.expect_start(key(), 2)
    listing.finish_start(key(), 2, now_ms=50)
    listing.forget(key(), 1)
    ended = EndedAttempt(1, key(), 1, EndKind.lapsed)
    listed = HoldReport(0, None, (), (ended,), 1)
    assert not list(listing.list_missing(listed, 40))
