from types import SimpleNamespace

import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import PartitionId
from radishlift.partitions.sizes import WorkerSizeTable
from radishlift.placement.jobs import Resources
from tests.placement.builders import make_engine, make_job, make_worker

HERE = PartitionId('p1')
THERE = PartitionId('p2')
LARGE_JOB = make_job('large', demand=Resources(20_000, 8_000))


@pytest.fixture
def partition():
    """A partition whose only worker is too small for the job."""
    state, engine = make_engine(make_worker(1, Resources(16_000, 30_000)))
    engine.tick(0)
    return SimpleNamespace(
        claim=SimpleNamespace(partition_id=HERE),
        engine=engine,
        states=SimpleNamespace(placement=state),
    )


@pytest.mark.parametrize(
    ('summary', 'is_refused'),
    [
        ({}, False),
        ({'p2:cpu': 30_000, 'p2:memory': 130_000, 'p2:accelerators': 0}, False),
        ({'p2:cpu': 8_000, 'p2:memory': 8_000, 'p2:accelerators': 0}, True),
        ({'p2:cpu': 8_000}, False),
    ],
)
def test_job_is_refused_only_if_it_fits_nowhere(partition, summary, is_refused):
    """Guards against "never fits" for a job that fits in another partition."""
    table = WorkerSizeTable()
    table.update_from_peer(summary)
    table.update([partition], [HERE, THERE])
    outcome = partition.engine.accept(LARGE_JOB, 1)
    assert isinstance(outcome, Failure) is is_refused
    if isinstance(outcome, Failure):
        assert outcome.kind is ErrorKind.never_fits


def test_summary_is_read_by_another_daemon(partition):
    """Guards against sizes that are encoded and decoded differently."""
    first, second = WorkerSizeTable(), WorkerSizeTable()
    first.update([partition], [HERE])
    second.update_from_peer(first.summary())
    partition.claim.partition_id = THERE
    second.update([partition], [HERE, THERE])
    outcome = partition.engine.accept(LARGE_JOB, 1)
    assert isinstance(outcome, Failure)
