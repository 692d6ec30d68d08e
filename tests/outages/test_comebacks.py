"""Tests of the pauses of callers, with a fleet of callers without a network."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishlift.core.ids import JobId
from radishlift.outages.comebacks import choose_pause_s

RETRIES_COUNT = 4
ROUND_TRIP_MS = 10


def fixed_pause_s(_job_id, _outage_ms, _remaining_ms):
    return 1


def play(choose, outage_s, deadline_s, seed, per_s=100):
    """Returns when, after the outage, each caller is accepted.

    None means never. Callers arrive evenly during the outage, have four
    retries, pause as they are told, and leave at their deadline.
    """
    noise = random.Random(seed)
    returns_ms = []
    for _ in range(round(outage_s * per_s)):
        job_id = JobId(f'{noise.getrandbits(64):016x}')
        started_ms = noise.uniform(0, outage_s * 1000)
        returns_ms.append(
            _come_back(choose, job_id, started_ms, outage_s, deadline_s)
        )
    return returns_ms


def _come_back(choose, job_id, started_ms, outage_s, deadline_s):
    now_ms = started_ms
    end_ms = started_ms + deadline_s * 1000
    for _ in range(RETRIES_COUNT):
        remaining_ms = int(end_ms - now_ms)
        now_ms += ROUND_TRIP_MS
        now_ms += choose(job_id, int(now_ms), remaining_ms) * 1000
        if now_ms >= end_ms:
            return None
        if now_ms >= outage_s * 1000:
            return now_ms - outage_s * 1000
    return None


def never_percent(choose, outage_s, deadline_s, seed):
    """Returns how many of 100 callers are never accepted."""
    returns_ms = play(choose, outage_s, deadline_s, seed)
    return round(100 * returns_ms.count(None) / len(returns_ms))


@given(
    outage_s=st.floats(1, 9),
    deadline_s=st.sampled_from([3, 5, 10, 20, 30]),
    seed=st.integers(0, 2**32),
)
def test_no_more_callers_are_lost_than_with_a_pause_of_a_second(
    outage_s, deadline_s, seed
):
    """Guards against pauses that outlast the caller's own deadline."""
    lost_percent = never_percent(choose_pause_s, outage_s, deadline_s, seed)
    fixed_percent = never_percent(fixed_pause_s, outage_s, deadline_s, seed)
    assert lost_percent <= fixed_percent + 2


@pytest.mark.parametrize('outage_s', [6, 7, 8, 9])
def test_patient_callers_outlast_an_outage(outage_s):
    """Guards against four tries that are spent in the first four seconds."""
    assert never_percent(fixed_pause_s, outage_s, 20, 1) > 20
    assert never_percent(choose_pause_s, outage_s, 20, 1) < 10


@given(outage_s=st.floats(1, 9), seed=st.integers(0, 2**32))
def test_callers_wait_no_longer_than_the_outage_lasted(outage_s, seed):
    returns_ms = play(choose_pause_s, outage_s, 30, seed)
    accepted_ms = [wait_ms for wait_ms in returns_ms if wait_ms is not None]
    assert max(accepted_ms) <= max(1100, 1250 * outage_s + 500)


@pytest.mark.parametrize('outage_s', [5, 7, 9])
def test_callers_return_over_several_seconds(outage_s):
    """Guards against a load that the returning store can't take."""
    returns_ms = play(choose_pause_s, outage_s, 30, 1)
    tenths = Counter(
        wait_ms // 100 for wait_ms in returns_ms if wait_ms is not None
    )
    # Twice the usual load of ten submissions in a tenth of a second.
    assert max(tenths.values()) <= 40


@given(
    outage_ms=st.integers(0, 10**7),
    remaining_ms=st.integers(-1000, 10**6),
    number=st.integers(0, 2**64 - 1),
)
def test_pause_is_a_whole_second_at_least(outage_ms, remaining_ms, number):
    job_id = JobId(f'{number:016x}')
    pause_s = choose_pause_s(job_id, outage_ms, remaining_ms)
    assert isinstance(pause_s, int)
    assert 1 <= pause_s <= max(1, remaining_ms / 3000 + 0.5)
