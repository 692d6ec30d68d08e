"""Rendezvous hashing of keys to partitions and partitions to daemons."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from hashlib import blake2b
from types import MappingProxyType
from typing import Final, TypeVar

from radishlift.core.ids import DaemonId, PartitionId

Name = TypeVar('Name', bound=str)

_WEIGHT_BYTES: Final = 8
_NONE_DECLINED: Final[Mapping[DaemonId, Collection[PartitionId]]] = (
    MappingProxyType({})
)


def rendezvous_weight(key: str, candidate: str) -> int:
    """Returns the weight of a candidate for a key; the highest one wins."""
    digest = blake2b(f'{candidate}\n{key}'.encode(), digest_size=_WEIGHT_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def heaviest(key: str, candidates: Iterable[Name]) -> Name | None:
    """Returns the candidate of highest weight, if there are any."""
    return max(
        candidates,
        key=lambda candidate: rendezvous_weight(key, candidate),
        default=None,
    )


def home_partition(
    key: str,
    partitions: Iterable[PartitionId],
) -> PartitionId | None:
    """Returns the home of a job id or idempotency key, if there are any."""
    return heaviest(key, partitions)


def spread(
    partitions: Collection[PartitionId],
    holders: Mapping[PartitionId, DaemonId],
    serving: Collection[DaemonId],
    takers: Collection[DaemonId],
    declined: Mapping[DaemonId, Collection[PartitionId]] = _NONE_DECLINED,
) -> dict[PartitionId, DaemonId]:
    """Assigns partitions to daemons, at most an equal share rounded up.

    `serving` daemons keep the partitions that they hold, those of highest
    weight first, up to their share. Others go to the taker of highest weight
    that has room. `takers` is a subset of `serving`; daemons with the same
    view find the same assignment. A daemon gets no partition that it has
    declined. A partition without a taker is left out.
    """
    if not serving:
        return {}
    share = -(-len(partitions) // len(serving))
    loads: Counter[DaemonId] = Counter()
    assigned: dict[PartitionId, DaemonId] = {}
    kept_first = sorted(
        partitions,
        key=lambda one: (-_holder_weight(one, holders), one),
    )
    for partition in kept_first:
        holder = holders.get(partition)
        if holder is None or holder not in serving:
            continue
        is_readable = partition not in declined.get(holder, ())
        if is_readable and loads[holder] < share:
            assigned[partition] = holder
            loads[holder] += 1
    for partition in sorted(set(partitions) - assigned.keys()):
        with_room = [
            one
            for one in readers_of(partition, takers, declined)
            if loads[one] < share
        ]
        taker = heaviest(partition, with_room)
        if taker is not None:
            assigned[partition] = taker
            loads[taker] += 1
    return assigned


def readers_of(
    partition: PartitionId,
    daemons: Iterable[DaemonId],
    declined: Mapping[DaemonId, Collection[PartitionId]],
) -> list[DaemonId]:
    """Lists the daemons that have not declined a partition."""
    return [one for one in daemons if partition not in declined.get(one, ())]


def _holder_weight(
    partition: PartitionId,
    holders: Mapping[PartitionId, DaemonId],
) -> int:
    holder = holders.get(partition)
    return 0 if holder is None else rendezvous_weight(partition, holder)


__all__ = (
    'heaviest',
    'home_partition',
    'readers_of',
    'rendezvous_weight',
    'spread',
)
