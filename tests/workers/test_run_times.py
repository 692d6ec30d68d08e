import pytest

from radishlift.workers.run_times import (
    MAX_NAMES_COUNT,
    MAX_SAMPLES_COUNT,
    RunTimes,
)

SPREAD_MS = 1000


def make_run_times(*times_ms: int) -> RunTimes:
    run_times = RunTimes()
    for run_ms in times_ms:
        run_times.observe('wash', run_ms)
    return run_times


@pytest.mark.parametrize(
    ('times_ms', 'elapsed_ms', 'expected_ms'),
    [
        ((900, 900, 900), 0, None),
        ((900, 900, 900, 900), 0, 900),
        ((800, 900, 1000, 1100, 1200), 0, 1100),
        # Already longer than most: only the longer run times count.
        ((800, 900, 1000, 1100, 5000), 1100, 5000),
        ((900, 900, 900, 900), 900, None),
        ((500, 2000, 6000, 9000, 20_000), 0, None),
    ],
)
def test_ends_are_predicted_only_for_similar_run_times(
    times_ms,
    elapsed_ms,
    expected_ms,
):
    """Guards against polls for ends that cannot be predicted."""
    run_times = make_run_times(*times_ms)
    found_ms = run_times.likely_end_ms('wash', elapsed_ms, SPREAD_MS)
    assert found_ms == expected_ms


def test_new_run_times_replace_old_ones():
    """Guards against predictions that ignore a changed program."""
    run_times = make_run_times()
    for run_ms in (500, 4000):
        for _ in range(MAX_SAMPLES_COUNT):
            run_times.observe('wash', run_ms)
    assert run_times.likely_end_ms('wash', 0, SPREAD_MS) == 4000


def test_the_number_of_names_is_bounded():
    """Guards against memory that grows with the names that callers choose."""
    run_times = make_run_times(500)
    for number in range(MAX_NAMES_COUNT):
        run_times.observe(f'name{number}', 100)
    assert len(run_times) == MAX_NAMES_COUNT
