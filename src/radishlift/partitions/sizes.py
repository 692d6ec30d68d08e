"""Largest workers of each partition, sent with the heartbeats of daemons.

A job that fits no worker of its home may fit a worker of another partition. A
home therefore needs the sizes of the others before it rejects a job as one
that can never run.
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


class WorkerSizeTable:
    """The largest worker capacity of each partition, by dimension."""

    def __init__(self) -> None:
        self._sizes: dict[PartitionId, Resources] = {}
        self._owned: tuple[PartitionId, ...] = ()
        self._summary_index = 0

    def update(
        self,
        owned: Iterable[OpenPartition],
        partition_ids: Iterable[PartitionId],
    ) -> None:
        """Measures the owned partitions and passes each the sizes of others.

        While the size of a partition is unknown, any job may fit there.
        """
        owned_by_id = {
            partition.claim.partition_id: partition for partition in owned
        }
        self._owned = tuple(owned_by_id)
        for partition_id, partition in owned_by_id.items():
            self._sizes[partition_id] = largest_worker_size(partition)
        all_ids = tuple(partition_ids)
        for partition_id, partition in owned_by_id.items():
            partition.engine.observe_worker_sizes(
                self._sizes.get(other, ANY_SIZE)
                for other in all_ids
                if other != partition_id
            )

    def summary(self) -> dict[str, float]:
        """Returns the size of one owned partition, in rotation."""
        if not self._owned:
            return {}
        self._summary_index = (self._summary_index + 1) % len(self._owned)
        partition_id = self._owned[self._summary_index]
        size = self._sizes[partition_id]
        amounts = (size.cpu_milli, size.memory_mb, size.accelerators_count)
        return {
            f'{partition_id}{_SEPARATOR}{name}': amount
            for name, amount in zip(_FIELDS, amounts, strict=True)
        }

    def update_from_peer(self, summary: Mapping[str, float]) -> None:
        """Stores the summary of a peer; an invalid summary is ignored."""
        names = {name.rpartition(_SEPARATOR)[0] for name in summary}
        for partition_id in names:
            values = [
                summary.get(f'{partition_id}{_SEPARATOR}{name}')
                for name in _FIELDS
            ]
            amounts = [int(value) for value in values if value is not None]
            if len(amounts) == len(_FIELDS) and partition_id not in self._owned:
                self._sizes[PartitionId(partition_id)] = Resources(*amounts)


def largest_worker_size(partition: OpenPartition) -> Resources:
    """Returns the largest capacity of the present workers, by dimension."""
    workers = partition.states.placement.tables.workers
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


__all__ = ('SIZES_NAME', 'WorkerSizeTable', 'largest_worker_size')
