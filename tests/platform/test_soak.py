"""Runs the fault soak test for seed 1 and for seeds that once failed."""

import pytest

from tests.platform.soak import FAILED_SEEDS, run_seed


@pytest.mark.system
@pytest.mark.parametrize('seed', [1, *FAILED_SEEDS])
async def test_guarantees_hold_under_faults(tmp_path, seed):
    soak, found = await run_seed(tmp_path, seed)
    assert not found
    assert list(soak.answers.values()).count(200) > 5
