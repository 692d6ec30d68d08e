"""What the console shows of the cell, as other modules provide it."""

from dataclasses import dataclass
from typing import Protocol

from radishlift.core.errors import Failure
from radishlift.core.ids import (
    DaemonId,
    DataCentreId,
    DepartmentName,
    PartitionId,
    WorkerId,
)


@dataclass(frozen=True, slots=True)
class QueueStatus:
    """Tasks of a department and the longest present wait."""

    department: DepartmentName
    queued_count: int
    running_count: int
    oldest_wait_ms: int


@dataclass(frozen=True, slots=True)
class WorkersStatus:
    """Workers of a data centre by state, and their committed resources."""

    data_centre: DataCentreId
    live_count: int
    leaving_count: int
    quarantined_count: int
    committed_cpu_milli: int
    total_cpu_milli: int


@dataclass(frozen=True, slots=True)
class QuarantineStatus:
    """A worker in quarantine and why."""

    worker_id: WorkerId
    reason: str
    since_ms: int


@dataclass(frozen=True, slots=True)
class PartitionStatus:
    """A partition and its owner; None while it has none."""

    partition_id: PartitionId
    owner: DaemonId | None
    workers_count: int
    queued_count: int


@dataclass(frozen=True, slots=True)
class CellStatus:
    """The state of the cell as one daemon knows it."""

    queues: tuple[QueueStatus, ...] = ()
    workers: tuple[WorkersStatus, ...] = ()
    quarantines: tuple[QuarantineStatus, ...] = ()
    partitions: tuple[PartitionStatus, ...] = ()


class StatusProvider(Protocol):
    """Tells the present state of the cell."""

    async def cell_status(self) -> CellStatus | Failure:
        """Returns the state, or why it is not known."""


__all__ = (
    'CellStatus',
    'PartitionStatus',
    'QuarantineStatus',
    'QueueStatus',
    'StatusProvider',
    'WorkersStatus',
)
