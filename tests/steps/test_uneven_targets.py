"""Tests of what callers get on targets of unlike speed."""

import pytest

from benchmarks.uneven_targets import TIGHT_KIND, in_time_shares, uneven_fleet

# Begins without any knowledge, which takes some seconds to learn.
DURATION_MS = 12_000
# Of the gain that an oracle has, most should remain while speeds are learned.
MIN_GAIN_SHARE = 0.5


@pytest.mark.parametrize(('seed', 'load'), [(1, 1), (2, 1.8)])
def test_tight_jobs_gain_most_of_what_known_speeds_allow(seed, load):
    """Guards against best fit, which makes short jobs late on slow targets."""
    fleet = uneven_fleet(load, DURATION_MS)
    best_fit, learned, known = (
        in_time_shares(fleet, knowledge, seed)
        for knowledge in ('unknown', 'learned', 'known')
    )
    gain = learned[TIGHT_KIND] - best_fit[TIGHT_KIND]
    possible = known[TIGHT_KIND] - best_fit[TIGHT_KIND]
    assert possible > 0
    assert gain >= MIN_GAIN_SHARE * possible
