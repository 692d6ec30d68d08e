"""Tests of how many crashes give a task up."""

import pytest

from radishlift.steps.crash_rate import CrashRate
from radishlift.steps.settings import StepSettings

SETTINGS = StepSettings(
    crash_window_ms=300,
    max_crashes_count=2,
    max_required_crashes_count=4,
    crash_chance=0.00001,
    crash_rate_ms=10_000,
)
TARGETS_COUNT = 24


@pytest.mark.parametrize(
    ('crashes_count', 'required'), [(0, 2), (1, 2), (5, 3), (30, 4), (300, 4)]
)
def test_more_crashes_are_required_while_targets_crash_anyway(
    crashes_count, required
):
    """Guards against jobs given up for crashes by chance."""
    rate = CrashRate(SETTINGS, 0)
    for number in range(crashes_count):
        rate.record(20_000 + number)
    assert rate.required_count(25_000, TARGETS_COUNT) == required


def test_crashes_of_the_past_are_forgotten():
    """Guards against tasks that crash more targets than they must."""
    rate = CrashRate(SETTINGS, 0)
    for number in range(30):
        rate.record(number)
    assert rate.required_count(10_100, TARGETS_COUNT) == 2


def test_same_crashes_mean_less_among_many_targets():
    rate = CrashRate(SETTINGS, 0)
    for _ in range(5):
        rate.record(0)
    assert rate.required_count(10_000, 20 * TARGETS_COUNT) == 2


def test_new_leader_counts_only_the_time_of_its_term():
    """Guards against a rate that is too low after a takeover."""
    rate = CrashRate(SETTINGS, 20_000)
    for _ in range(5):
        rate.record(21_000)
    assert rate.required_count(21_500, TARGETS_COUNT) == 4
