"""Tests how long steps may claim room that they don't use."""

from radishlift.steps.claim_turns import ClaimTurns
from radishlift.steps.settings import StepSettings
from tests.steps.builders import key

STEP = key().step_key
TURNS = {'max_claim_ms': 5000}


def test_turn_ends_sooner_if_the_expected_start_does():
    """Guards against room that is kept until a start expected much earlier."""
    turns = ClaimTurns(StepSettings(**TURNS))
    assert turns.may_claim(STEP, 4000, 0)
    assert turns.may_claim(STEP, 1000, 1000)
    assert turns.may_claim(STEP, 9000, 5999)
    assert not turns.may_claim(STEP, 9000, 6000)


def test_turn_for_a_distant_start_ends_before_it():
    """Guards against room that nobody uses until a long task has ended."""
    turns = ClaimTurns(StepSettings(**TURNS))
    assert turns.may_claim(STEP, 60_000, 0)
    assert not turns.may_claim(STEP, 60_000, 10_000)
    assert not turns.may_claim(STEP, 60_000, 14_999)
    assert turns.may_claim(STEP, 60_000, 15_000)
