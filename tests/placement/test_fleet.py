"""Sizes of workers, and refusal of jobs that fit none of them."""

import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.placement.fleet import FleetTotals
from radishlift.placement.jobs import Resources
from tests.placement.builders import make_engine, make_job, make_worker

PLAIN = Resources(30_000, 130_000)
WITH_ACCELERATORS = Resources(16_000, 30_000, 4)


def test_largest_has_all_dimensions():
    """Guards against a dimension that is left out of the largest size."""
    state, _ = make_engine(
        make_worker(1, PLAIN), make_worker(2, WITH_ACCELERATORS)
    )  # fmt: skip
    fleet = FleetTotals()
    for row in state.tables.workers.row_of.values():
        fleet.update(state.tables.workers, row)
    assert fleet.largest == Resources(30_000, 130_000, 4)


@pytest.mark.parametrize('other', [PLAIN, WITH_ACCELERATORS])
def test_more_accelerators_than_any_worker_has_are_refused(other):
    """Guards against a job that waits for accelerators no worker has."""
    _, engine = make_engine(make_worker(1, PLAIN))
    engine.observe_worker_sizes([other])
    demand = Resources(1_000, 1_000, 5)
    refused = engine.accept(make_job(demand=demand), 0)
    assert isinstance(refused, Failure)
    assert refused.kind is ErrorKind.never_fits
    assert 'accelerators_count' in refused.reason
