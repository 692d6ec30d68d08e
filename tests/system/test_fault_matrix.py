import pytest

from tests.system.scenario import run_scenario

pytestmark = pytest.mark.system


@pytest.mark.parametrize(
    ('fault_names', 'seed'),
    [
        (('kill_daemon', 'store_loses_answers'), 11),
        (('freeze_daemon', 'cancel_wave'), 12),
        (('cut_store', 'operator_race'), 13),
        (('stop_daemon', 'executor_leaves'), 14),
        (('lose_rack', 'store_down'), 15),
    ],
)
async def test_invariants_hold_under_pairs_of_faults(
    tmp_path,
    fault_names,
    seed,
):
    """Guards what must always hold while both departments are at peak."""
    verdict = await run_scenario(tmp_path, fault_names, seed)
    assert verdict.violations == {}
    assert verdict.outcomes['answered'] > 0
