"""Runs the fault soak test for seed 1 and for seeds that once failed."""

import pytest

from tests.platform.soak import FAILED_SEEDS, run_seed
from tests.platform.soak_limits import CALM_S


@pytest.mark.system
@pytest.mark.parametrize('seed', [1, *FAILED_SEEDS])
async def test_guarantees_hold_under_faults(tmp_path, seed):
    # The waits of steps after the faults are observed for one seed.
    calm_s = CALM_S if seed == 1 else 0
    soak, found = await run_seed(tmp_path, seed, calm_s=calm_s)
    assert not found
    assert list(soak.answers.values()).count(200) > 5
