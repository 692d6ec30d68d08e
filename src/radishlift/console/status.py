"""The state of the cell that the console and `radishctl` show."""

from dataclasses import dataclass
from typing import Protocol

from radishlift.core.errors import Failure
from radishlift.core.ids import (
    DaemonId,
    DataCentreId,
    DepartmentName,
    PartitionId,
    RackId,
    WorkerId,
)
from radishlift.core.levels import LOWEST_LEVEL
from radishlift.membership.api import DaemonFormat
from radishlift.placement.jobs import Priority


@dataclass(frozen=True, slots=True)
class QueueStatus:
    """Tasks of a department and priority, and the longest current wait."""

    department: DepartmentName
    priority: Priority
    queued_count: int
    running_count: int
    oldest_wait_ms: int


@dataclass(frozen=True, slots=True)
class WorkersStatus:
    """Workers of a data centre by state, and their committed resources.

    A live worker may be in quarantine. `leaving_count` counts the workers that
    get no new tasks because they are leaving or were moved to another
    partition.
    """

    data_centre: DataCentreId
    live_count: int
    leaving_count: int
    quarantined_count: int
    committed_cpu_milli: int
    total_cpu_milli: int
    unreachable_count: int = 0


@dataclass(frozen=True, slots=True)
class QuarantineStatus:
    """A worker in quarantine and why.

    `since_ms` is the wall time since when the current owner has recorded the
    quarantine; it restarts with each new owner.
    """

    worker_id: WorkerId
    reason: str
    since_ms: int


@dataclass(frozen=True, slots=True)
class PartitionStatus:
    """A partition and its owner; None while it has none.

    The counts are None while the owner does not answer or is recovering.
    """

    partition_id: PartitionId
    owner: DaemonId | None
    workers_count: int | None
    queued_count: int | None


@dataclass(frozen=True, slots=True)
class RackStatus:
    """A rack whose move a partition has not completed.

    `step` is the next step of the partition. `row_names` is the partition in
    the rack's row; "" if there is none or the row was not read.
    """

    rack: RackId
    partition_id: PartitionId
    step: str
    waited_ms: int
    row_names: PartitionId


@dataclass(frozen=True, slots=True)
class CellStatus:
    """The state of the cell, collected from its daemons on request.

    `missing` are the daemons that did not answer; their partitions are not
    counted. `format_level` is the level in use by the daemon that collected
    the state, `formats` are those of all known daemons.
    """

    queues: tuple[QueueStatus, ...] = ()
    workers: tuple[WorkersStatus, ...] = ()
    quarantines: tuple[QuarantineStatus, ...] = ()
    partitions: tuple[PartitionStatus, ...] = ()
    missing: tuple[DaemonId, ...] = ()
    racks: tuple[RackStatus, ...] = ()
    format_level: int = LOWEST_LEVEL
    formats: tuple[DaemonFormat, ...] = ()


class StatusProvider(Protocol):
    """Provides the current state of the cell."""

    async def cell_status(self) -> CellStatus | Failure:
        """Returns the state, or a failure if it cannot be determined."""


__all__ = (
    'CellStatus',
    'PartitionStatus',
    'QuarantineStatus',
    'QueueStatus',
    'RackStatus',
    'StatusProvider',
    'WorkersStatus',
)
