"""Tests of starts that may still take effect."""

from radishlift.cell.unresolved_starts import UnresolvedStarts
from tests.steps.builders import key


def make_starts():
    starts = UnresolvedStarts()
    starts.add(key(0), 1, now_ms=100)
    starts.add(key(1), 1, now_ms=200)
    for number in (0, 1):
        starts.resolve(key(number), 1)
    return starts


def test_blocked_start_is_blocked_again_by_a_new_process():
    starts = make_starts()
    assert not list(starts)
    assert starts.reopen(now_ms=200, late_call_ms=100)
    assert set(starts) == {(key(0), 1), (key(1), 1)}


def test_start_of_a_present_attempt_is_not_blocked():
    starts = make_starts()
    starts.reopen(now_ms=200, late_call_ms=100, present={(key(0), 1)})
    assert set(starts) == {(key(1), 1)}


def test_starts_that_can_not_take_effect_are_forgotten():
    # They would be kept, and blocked at each restart, for the whole term.
    starts = make_starts()
    starts.reopen(now_ms=250, late_call_ms=100)
    assert set(starts) == {(key(1), 1)}
