"""What callers get from the decisions under more load than the room holds."""

from dataclasses import replace

import pytest

from benchmarks.bench_decisions import ORDERS, rug_depot
from benchmarks.decision_model import DecisionModel, worth_share
from radishlift.steps.order import rank

# Routes and batches beyond the room, and a burst on top.
OVERLOAD = replace(rug_depot(load=1.3, burst=1.8), length_ms=14_000)
CALM = replace(rug_depot(load=0.4), length_ms=8000)
# The users' target for the rug depot.
TARGET_WORTH = 0.55
SEEDS = (1, 2)


def shares(deployment, order):
    return [
        worth_share(deployment, DecisionModel(deployment, seed, order).play())
        for seed in SEEDS
    ]


def test_late_steps_do_not_make_all_later_ones_late():
    """Guards against a backlog that is served in the order of its age."""
    mean = sum(shares(OVERLOAD, rank)) / len(SEEDS)
    by_priority = sum(shares(OVERLOAD, ORDERS.get('priority'))) / len(SEEDS)
    assert mean > by_priority
    assert mean >= TARGET_WORTH


@pytest.mark.parametrize('seed', SEEDS)
def test_urgent_jobs_start_at_once_while_there_is_room(seed):
    tallies = DecisionModel(CALM, seed).play()
    waits_ms = sorted(tallies['pickup_confirm'].waits_ms)
    # The objective leaves 250 ms beside the run time.
    assert waits_ms[len(waits_ms) // 2] <= 250


def test_same_seed_plays_the_same_load():
    first, second = (DecisionModel(CALM, seed=5).play() for _ in range(2))
    assert first == second
