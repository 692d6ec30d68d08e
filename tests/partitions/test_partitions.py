import asyncio
from types import SimpleNamespace

import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import PartitionId
from radishlift.core.kinds import UnknownFormat
from radishlift.partitions.partitions import Partitions
from radishlift.partitions.settings import PartitionSettings

PARTITION = PartitionId('p1')


@pytest.mark.parametrize(
    ('kind', 'is_given_up_at_once'),
    [(ErrorKind.not_owner, True), (ErrorKind.internal, False)],
)
async def test_failed_partition_is_given_up_after_a_pause(
    kind,
    is_given_up_at_once,
):
    """Guards against claiming a partition with a damaged journal in a loop.

    A partition that has another owner is given up at once.
    """
    given_up = []
    done = asyncio.Event()

    def give_up(partition_id):
        given_up.append(partition_id)
        done.set()

    settings = PartitionSettings(failed_pause_ms=50)
    parts = SimpleNamespace(
        network=SimpleNamespace(register=lambda *_: None),
        settings=SimpleNamespace(partitions=settings),
    )
    partitions = Partitions(parts, SimpleNamespace(), give_up)
    runner = SimpleNamespace(partition_id=PARTITION)
    partitions._runners[PARTITION] = runner
    partitions._on_runner_closed(runner, Failure(kind, 'test'))
    assert bool(given_up) is is_given_up_at_once
    await asyncio.wait_for(done.wait(), 5)
    assert given_up == [PARTITION]


def test_partition_of_a_newer_version_is_declined():
    """Guards against claiming a partition of an unknown format in a loop."""
    declined = []
    parts = SimpleNamespace(
        network=SimpleNamespace(register=lambda *_: None),
    )
    partitions = Partitions(
        parts,
        SimpleNamespace(),
        lambda _: pytest.fail('it would be claimed again'),
        decline=declined.append,
    )
    runner = SimpleNamespace(partition_id=PARTITION)
    partitions._runners[PARTITION] = runner
    unknown = UnknownFormat(ErrorKind.internal, 'test')
    partitions._on_runner_closed(runner, unknown)
    assert declined == [PARTITION]
