"""Spreads the workers of the host list to partitions, by rack."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from radishlift.config.document import ConfigDocument
from radishlift.core.ids import PartitionId, WorkerId
from radishlift.platform.api import Host, HostRole, HostState


@dataclass(frozen=True, slots=True)
class WorkerAssignment:
    """The workers of one partition.

    `listed` are all workers of the host list: one that is not on it is gone,
    while one that is assigned elsewhere may still run tasks of this
    partition. `leaving` are the listed workers that get no new tasks.
    """

    assigned: frozenset[WorkerId]
    listed: frozenset[WorkerId]
    leaving: frozenset[WorkerId]
    document: ConfigDocument

    def is_open(self, worker_id: WorkerId) -> bool:
        """Tells whether a worker may get new tasks of this partition."""
        return worker_id in self.assigned and worker_id not in self.leaving


def spread_workers(
    hosts: Iterable[Host],
    document: ConfigDocument,
) -> dict[PartitionId, WorkerAssignment]:
    """Assigns each worker to the partition that its rack belongs to."""
    workers = [host for host in hosts if host.role is HostRole.worker]
    partition_of = {
        rack: partition_id
        for partition_id, partition in document.partitions.items()
        for rack in partition.racks
    }
    members: dict[PartitionId, set[WorkerId]] = defaultdict(set)
    for host in workers:
        partition_id = partition_of.get(host.rack)
        if partition_id is not None:
            members[partition_id].add(WorkerId(host.address))
    listed = frozenset(WorkerId(host.address) for host in workers)
    leaving = frozenset(
        WorkerId(host.address)
        for host in workers
        if host.state is HostState.leaving
    )
    return {
        partition_id: WorkerAssignment(
            frozenset(members[partition_id]),
            listed,
            leaving,
            document,
        )
        for partition_id in document.partitions
    }


__all__ = ('WorkerAssignment', 'spread_workers')
