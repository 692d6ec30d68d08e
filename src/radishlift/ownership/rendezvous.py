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
    """Returns the weight of a candidate; the highest weight wins the key."""
    digest = blake2b(f'{candidate}\n{key}'.encode(), digest_size=_WEIGHT_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def highest_weight(key: str, candidates: Iterable[Name]) -> Name | None:
    """Returns the candidate of highest weight, None without candidates."""
    return max(
        candidates,
        key=lambda candidate: rendezvous_weight(key, candidate),
        default=None,
    )


def home_partition(
    key: str,
    partitions: Iterable[PartitionId],
) -> PartitionId | None:
    """Returns the home of a job id or key, None without partitions."""
    return highest_weight(key, partitions)


def assign_partitions(
    partitions: Collection[PartitionId],
    holders: Mapping[PartitionId, DaemonId],
    serving: Collection[DaemonId],
    candidates: Collection[DaemonId],
    declined: Mapping[DaemonId, Collection[PartitionId]] = _NONE_DECLINED,
) -> dict[PartitionId, DaemonId]:
    """Assigns each daemon at most an equal share of partitions, rounded up.

    `serving` daemons keep the partitions that they hold, those of highest
    weight first, up to their share. Each other partition is assigned to the
    candidate of highest weight with free capacity. `candidates` is a subset of
    `serving`. Daemons with the same view compute the same assignment. A daemon
    gets no partition that it has declined. A partition without a candidate is
    left out.
    """
    if not serving:
        return {}
    share = -(-len(partitions) // len(serving))
    loads: Counter[DaemonId] = Counter()
    assigned: dict[PartitionId, DaemonId] = {}
    kept_first = sorted(
        partitions,
        key=lambda partition: (-_holder_weight(partition, holders), partition),
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
        available = [
            daemon_id
            for daemon_id in eligible_daemons(partition, candidates, declined)
            if loads[daemon_id] < share
        ]
        chosen = highest_weight(partition, available)
        if chosen is not None:
            assigned[partition] = chosen
            loads[chosen] += 1
    return assigned


def eligible_daemons(
    partition: PartitionId,
    daemons: Iterable[DaemonId],
    declined: Mapping[DaemonId, Collection[PartitionId]],
) -> list[DaemonId]:
    """Returns the daemons that have not declined a partition."""
    return [
        daemon_id
        for daemon_id in daemons
        if partition not in declined.get(daemon_id, ())
    ]


def _holder_weight(
    partition: PartitionId,
    holders: Mapping[PartitionId, DaemonId],
) -> int:
    holder = holders.get(partition)
    return 0 if holder is None else rendezvous_weight(partition, holder)


__all__ = (
    'highest_weight',
    'home_partition',
    'eligible_daemons',
    'rendezvous_weight',
    'assign_partitions',
)
