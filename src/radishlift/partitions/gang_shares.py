"""Chooses the partitions that start the members of a gang."""

from collections.abc import Mapping, Sequence
from random import Random
from typing import Final

from radishlift.core.ids import Epoch, GangRoundId, PartitionId
from radishlift.placement.gang_records import GangShare
from radishlift.placement.transfers import QueuedTask

MAX_SHARES: Final = 16
"""Maximum per gang; each adds two messages and rows to its start."""


def choose_shares(
    tasks: Sequence[QueuedTask],
    capacity: Mapping[PartitionId, int],
    random: Random,
) -> tuple[GangShare, ...]:
    """Distributes members over few partitions, in the order of their ids.

    `capacity` is the number of members that may fit in each partition. Returns
    nothing if the partitions can't fit all members.
    """
    # The random order keeps competing homes from all choosing the same of
    # several equal partitions.
    ranked = sorted(
        (
            partition_id
            for partition_id in sorted(capacity)
            if capacity[partition_id]
        ),
        key=lambda partition_id: (-capacity[partition_id], random.random()),
    )
    counts: dict[PartitionId, int] = {}
    remaining_count = len(tasks)
    for partition_id in ranked[:MAX_SHARES]:
        counts[partition_id] = min(remaining_count, capacity[partition_id])
        remaining_count -= counts[partition_id]
        if not remaining_count:
            return _split_tasks(tasks, counts)
    return ()


def _split_tasks(
    tasks: Sequence[QueuedTask],
    counts: Mapping[PartitionId, int],
) -> tuple[GangShare, ...]:
    shares = []
    first = 0
    for partition_id in sorted(counts):
        last = first + counts[partition_id]
        shares.append(GangShare(partition_id, tuple(tasks[first:last])))
        first = last
    return tuple(shares)


def make_round_id(
    home: PartitionId,
    epoch: Epoch,
    number: int,
) -> GangRoundId:
    """Returns the id of a round; only the owner of that epoch can decide it."""
    return GangRoundId(f'{home}.{epoch}.{number}')


def epoch_of(round_id: GangRoundId) -> Epoch | None:
    """Returns the epoch of the owner that started a round, if readable."""
    digits = round_id.rsplit('.', 2)[-2:-1]
    if digits and digits[0].isdecimal():
        return Epoch(int(digits[0]))
    return None


__all__ = ('MAX_SHARES', 'choose_shares', 'epoch_of', 'make_round_id')
