"""Tests of the estimated chains of a job."""

import random
from dataclasses import replace

import pytest

from radishlift.steps import runs
from radishlift.steps.chains import build_chains
from radishlift.steps.delay_costs import DelayCosts
from radishlift.steps.settings import StepSettings
from tests.steps.builders import job, step

STEPS_COUNT = 60


def longest_from(spec, number):
    later = [
        longest_from(spec, other)
        for other, follower in enumerate(spec.steps)
        if number in follower.depends_on
    ]
    return spec.steps[number].estimate_ms + max(later, default=0)


@pytest.mark.parametrize('seed', range(5))
def test_each_chain_is_the_longest_path_from_its_step(seed):
    numbers = random.Random(seed)
    steps = [
        step(
            estimate_ms=numbers.randrange(1000),
            depends_on=tuple(
                sorted(numbers.sample(range(number), min(number, 2)))
            ),
        )
        for number in range(12)
    ]
    run = job(*steps)
    expected = [longest_from(run.spec, number) for number in range(12)]
    assert list(run.chains.by_step_ms) == expected
    assert run.chains.longest_ms == max(expected)


def test_chains_are_built_once_for_all_steps_of_a_job(monkeypatch):
    """Guards against a leader whose first tick outlasts its heartbeat."""
    built = []

    def count_build(*args):
        built.append(args)
        return build_chains(*args)

    monkeypatch.setattr(runs, 'build_chains', count_build)
    run = job(*(step() for _ in range(STEPS_COUNT)))
    costs = DelayCosts(StepSettings())
    due = [(run, one) for one in run.steps.values()]
    costs.sort(due, 0)
    assert len(built) == 1
    run.terms = replace(run.terms, stretch=9)
    costs.sort(due, 0)
    assert len(built) == 2
