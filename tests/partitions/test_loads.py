from random import Random

from msgpack import packb

from radishlift.core.ids import PartitionId
from radishlift.membership.settings import MembershipSettings
from radishlift.partitions.loads import (
    SUMMARY_NAME,
    LoadTable,
    PartitionLoad,
)
from radishlift.placement.jobs import Resources

NAME = PartitionId('pinetown-racks-1-to-50')
# 400 workers of the size that the largest users have.
LARGE = PartitionLoad(
    NAME,
    0.123456789,
    Resources(30_000, 130_000, 8),
    Resources(12_000_000, 52_000_000, 3_200),
)


def test_summary_of_a_large_partition_fits_a_heartbeat():
    """Guards against load summaries that are too large for a heartbeat."""
    table, other = LoadTable(Random(1)), LoadTable(Random(2))
    table._loads[NAME] = LARGE
    table._owned = (NAME,)
    summary = table.summary()
    size_bytes = len(packb([SUMMARY_NAME, summary]))
    assert size_bytes <= MembershipSettings().summary_bytes
    other.update_from_peer(summary)
    assert other._loads == {NAME: LARGE}
    other.update_from_peer({f'{NAME}:load': 0.5})
    assert other._loads == {NAME: LARGE}


def test_fragments_that_are_too_small_are_not_counted():
    """Guards against reservations that every round of a gang is refused.

    This happens if fragments of free capacity are counted that fit no task.
    """
    demand = Resources(20_000, 1_000)
    assert LARGE.count_tasks(demand, 1_000) == 600
    assert LARGE.count_likely_tasks(demand, 1_000) == 400
    full = PartitionLoad(NAME, 1, Resources(0, 0), Resources(0, 0))
    assert full.count_likely_tasks(demand, 1_000) == 0
