"""Tests of the fencing tokens of calls to a target."""

import pytest

from radishlift.cell.fences import TOKENS_PER_TERM, TargetFence, last_token
from radishlift.cell.ports import StartVerdict
from radishlift.steps.ids import FencingToken, TargetIncarnation

EPOCH = FencingToken(7)
PROCESS = TargetIncarnation(2)


@pytest.fixture
def exhausted():
    return []


@pytest.fixture
def fence(exhausted):
    return TargetFence(EPOCH, lambda: exhausted.append(True))


def test_tokens_of_a_term_stay_below_those_of_the_next(fence, exhausted):
    """Guards against two leaders with the same token."""
    fence.token = last_token(EPOCH)
    fence.raise_token()
    assert fence.token < EPOCH + TOKENS_PER_TERM
    assert exhausted


def test_raised_token_is_higher_than_all_before(fence, exhausted):
    fence.raise_token()
    assert fence.token > EPOCH
    assert not exhausted


def test_process_is_fenced_by_a_call_with_the_token_raised_for_it(fence):
    """Guards against a list that was made while late calls had effects."""
    fence.raise_for(PROCESS)
    assert not fence.is_fenced(PROCESS, EPOCH)
    assert fence.is_fenced(PROCESS, fence.token)
    assert not fence.is_fenced(TargetIncarnation(3), fence.token)


def test_call_with_the_latest_token_is_fenced_by_another_leader(fence):
    """Guards against a deposed leader that goes on with its calls."""
    fence.raise_token()
    assert not fence.has_overtaken(StartVerdict.fenced, fence.token)
    assert fence.has_overtaken(StartVerdict.fenced, EPOCH)
    assert not fence.has_overtaken(StartVerdict.late, EPOCH)
