import pytest

from tests.system.faults import FAULTS
from tests.system.scenario import run_scenario
from tests.system.wide_faults import SOAK_ONLY

pytestmark = pytest.mark.system


# Each case covers all pairs of its faults.
CASES = (
    (('kill_daemon', 'store_loses_answers', 'failing_worker'), 11),
    (('freeze_daemon', 'cancel_wave', 'restart_worker', 'cut_regions'), 12),
    (
        (
            *('cut_store', 'operator_race', 'executor_fails'),
            *('lose_rack', 'cut_worker', 'executor_leaves'),
        ),
        13,
    ),
    (
        (
            *('stop_daemon', 'stop_daemons', 'cut_peers'),
            *('store_down', 'executor_leaves', 'worker_leaves'),
        ),
        14,
    ),
    (
        (
            *('host_list_down', 'host_list_slow', 'executor_leaves'),
            *('worker_leaves', 'cut_store'),
        ),
        15,
    ),
    (('lose_data_centre', 'cut_regions_and_store', 'store_slow'), 16),
)


@pytest.mark.parametrize(('fault_names', 'seed'), CASES)
async def test_invariants_hold_under_combined_faults(
    tmp_path,
    fault_names,
    seed,
):
    """Guards the invariants under faults while both departments are at peak."""
    result = await run_scenario(tmp_path, fault_names, seed)
    assert result.violations == {}
    assert result.outcomes['answered'] > 0


def test_every_fault_is_in_a_case():
    """Guards against a fault that runs only in the soak by mistake."""
    tried = {name for fault_names, _ in CASES for name in fault_names}
    assert tried | SOAK_ONLY == set(FAULTS.names())
