"""A short seeded run of the fault soak, and the seeds that failed once."""

import pytest

from tests.platform.soak import KEPT_SEEDS, play


@pytest.mark.system
@pytest.mark.parametrize('seed', [1, *KEPT_SEEDS])
async def test_promises_hold_under_faults(tmp_path, seed):
    soak, found = await play(tmp_path, seed)
    assert not found
    assert list(soak.answers.values()).count(200) > 5
