"""Largest workers of each partition, spread with the heartbeats of daemons.

A job that fits no worker of its home may fit one of another partition, so a
home must know the others' sizes before it says that a job can never run.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from radishlift.core.ids import PartitionId
from radishlift.partitions.open_partition import OpenPartition
from radishlift.placement.fleet import ANY_SIZE
from radishlift.placement.jobs import Resources

SIZES_NAME: Final = 'sizes'

_SEPARATOR: Final = ':'
_FIELDS: Final = ('cpu', 'memory', 'accelerators')


class SizeBoard:
    """The largest size, by dimension, of the workers of each partition."""

    def __init__(self) -> None:
        self._sizes: dict[PartitionId, Resources] = {}
        self._owned: tuple[PartitionId, ...] = ()
        self._turn = 0

    def update(
        self,
        opened: Iterable[OpenPartition],
        partitions: Iterable[PartitionId],
    ) -> None:
        """Measures the owned partitions and tells each of the others.

        While the size of a partition is unknown any job may fit there.
        """
        owned = {one.claim.partition_id: one for one in opened}
        self._owned = tuple(owned)
        for partition_id, partition in owned.items():
            self._sizes[partition_id] = measure_size(partition)
        known = tuple(partitions)
        for partition_id, partition in owned.items():
            partition.engine.observe_worker_sizes(
                self._sizes.get(other, ANY_SIZE)
                for other in known
                if other != partition_id
            )

    def summary(self) -> dict[str, float]:
        """Returns the size of one owned partition, in turns."""
        if not self._owned:
            return {}
        self._turn = (self._turn + 1) % len(self._owned)
        partition_id = self._owned[self._turn]
        size = self._sizes[partition_id]
        numbers = (size.cpu_milli, size.memory_mb, size.accelerators_count)
        return {
            f'{partition_id}{_SEPARATOR}{name}': number
            for name, number in zip(_FIELDS, numbers, strict=True)
        }

    def absorb(self, summary: Mapping[str, float]) -> None:
        """Takes over the summary of a peer; a bad one is ignored."""
        names = {name.rpartition(_SEPARATOR)[0] for name in summary}
        for partition_id in names:
            numbers = [
                summary.get(f'{partition_id}{_SEPARATOR}{name}')
                for name in _FIELDS
            ]
            known = [int(number) for number in numbers if number is not None]
            if len(known) == len(_FIELDS) and partition_id not in self._owned:
                self._sizes[PartitionId(partition_id)] = Resources(*known)


def measure_size(opened: OpenPartition) -> Resources:
    """Returns the largest size of the present workers, by dimension."""
    workers = opened.states.placement.tables.workers
    sizes = [
        workers.worker_info[row].capacity
        for row in workers.row_of.values()
        if workers.is_present[row]
    ]
    return Resources(
        max((size.cpu_milli for size in sizes), default=0),
        max((size.memory_mb for size in sizes), default=0),
        max((size.accelerators_count for size in sizes), default=0),
    )


__all__ = ('SIZES_NAME', 'SizeBoard', 'measure_size')
