"""Tests of the order in which steps are placed."""

from radishlift.steps.ranking import (
    chain_estimate_ms,
    latest_start_ms,
    objective_at_ms,
)
from tests.steps.builders import job, step


def test_chain_is_the_longest_path():
    run = job(
        step(estimate_ms=100),
        step(estimate_ms=300),
        step(estimate_ms=50, depends_on=(0, 1)),
        step(estimate_ms=200, depends_on=(0,)),
    )
    assert chain_estimate_ms(run) == 350
    assert chain_estimate_ms(run, 3) == 200


def test_objective_counts_the_stretched_chain_and_the_slack():
    run = job(step(), accepted_at_ms=10, stretch=2.0, objective_ms=500)
    assert objective_at_ms(run, run.steps[0, 0]) == 2510
    assert latest_start_ms(run, run.steps[0, 0]) == 1510
