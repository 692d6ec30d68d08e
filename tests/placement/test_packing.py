import pytest

from benchmarks.bench_policies import PACKING_BOUND_RATIO, pack_tasks


@pytest.mark.parametrize('department', ['rugs', 'kits'])
@pytest.mark.parametrize('seed', [12, 16])
def test_packing_stays_near_the_lower_bound(department, seed):
    """Guards against a packing with more than one worker above the bound.

    The lower bound is the number of workers that the sum of demands needs.
    """
    used_count, lower_bound_count = pack_tasks(
        department, 'packing_first', seed
    )
    assert used_count <= PACKING_BOUND_RATIO * lower_bound_count
