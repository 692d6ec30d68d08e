"""Assigns the workers of the host list to partitions, by rack."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from radishlift.config.document import ConfigDocument
from radishlift.core.ids import PartitionId, RackId, WorkerId
from radishlift.services.api import Host, HostRole, HostState


@dataclass(frozen=True, slots=True)
class WorkerAssignment:
    """The workers of one partition.

    `listed` are all workers of the host list. A worker that is not on the list
    was removed, while a worker that is assigned to another partition may still
    run tasks of this one. `leaving` are the listed workers that get no new
    tasks. `partition_of` covers the racks of the whole configuration.
    """

    assigned: frozenset[WorkerId]
    listed: frozenset[WorkerId]
    leaving: frozenset[WorkerId]
    document: ConfigDocument
    rack_of: Mapping[WorkerId, RackId] = field(default_factory=dict)
    partition_of: Mapping[RackId, PartitionId] = field(default_factory=dict)

    def is_open(self, worker_id: WorkerId) -> bool:
        """Returns whether a worker may get new tasks of this partition."""
        return worker_id in self.assigned and worker_id not in self.leaving

    def restrict_to(self, racks: Collection[RackId]) -> 'WorkerAssignment':
        """Returns the assignment without the workers of other racks."""
        assigned = frozenset(
            worker_id
            for worker_id in self.assigned
            if self.rack_of[worker_id] in racks
        )
        return replace(self, assigned=assigned)


def assign_workers(
    hosts: Iterable[Host],
    document: ConfigDocument,
    owned: Iterable[PartitionId] = (),
) -> dict[PartitionId, WorkerAssignment]:
    """Assigns each worker to the partition that its rack belongs to.

    `owned` are the partitions of this daemon. Those that the configuration no
    longer has are included: they get no workers, and must release the racks
    that they hold.
    """
    workers = [host for host in hosts if host.role is HostRole.worker]
    partition_ids = {*document.partitions, *owned}
    partition_of = {
        RackId(rack): partition_id
        for partition_id, partition in document.partitions.items()
        for rack in partition.racks
    }
    members: dict[PartitionId, set[WorkerId]] = defaultdict(set)
    for host in workers:
        partition_id = partition_of.get(host.rack)
        if partition_id is not None:
            members[partition_id].add(WorkerId(host.address))
    rack_of = {WorkerId(host.address): host.rack for host in workers}
    listed = frozenset(rack_of)
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
            rack_of,
            partition_of,
        )
        for partition_id in partition_ids
    }


__all__ = ('WorkerAssignment', 'assign_workers')
