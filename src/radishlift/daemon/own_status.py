"""Status of the partitions that this daemon owns."""

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from radishlift.console.status import (
    PartitionStatus,
    QuarantineStatus,
    QueueStatus,
    RackStatus,
    WorkersStatus,
)
from radishlift.core.ids import DaemonId, DataCentreId, DepartmentName
from radishlift.partitions.open_partition import OpenPartition
from radishlift.partitions.partitions import Partitions
from radishlift.placement.jobs import Priority
from radishlift.wire.messages import message

# Keeps a status far below the frame limit of 1 MiB; the counts of workers in
# quarantine include those that are not listed.
_MAX_ROWS: Final = 200
# Counting a queue of 100,000 jobs must not delay the decisions of a partition.
_JOBS_PER_YIELD: Final = 500


@message('status_fetch')
@dataclass(frozen=True, slots=True)
class StatusFetch:
    """Requests a `DaemonStatus`."""


@message('status_snapshot')
@dataclass(frozen=True, slots=True)
class DaemonStatus:
    """Counts for the partitions that one daemon owns, bounded in size."""

    queues: tuple[QueueStatus, ...] = ()
    workers: tuple[WorkersStatus, ...] = ()
    quarantines: tuple[QuarantineStatus, ...] = ()
    partitions: tuple[PartitionStatus, ...] = ()
    racks: tuple[RackStatus, ...] = ()


@dataclass(slots=True)
class _QueueCounts:
    queued_count: int = 0
    running_count: int = 0
    oldest_wait_ms: int = 0


@dataclass(slots=True)
class _WorkerCounts:
    live_count: int = 0
    leaving_count: int = 0
    quarantined_count: int = 0
    committed_cpu_milli: int = 0
    total_cpu_milli: int = 0
    unreachable_count: int = 0


@dataclass(slots=True)
class _StatusCounts:
    queues: defaultdict[tuple[DepartmentName, Priority], _QueueCounts] = field(
        default_factory=lambda: defaultdict(_QueueCounts),
    )
    workers: defaultdict[DataCentreId, _WorkerCounts] = field(
        default_factory=lambda: defaultdict(_WorkerCounts),
    )
    quarantines: list[QuarantineStatus] = field(default_factory=list)
    racks: list[RackStatus] = field(default_factory=list)


class LocalStatus:
    """Counts queues and workers of the owned partitions on request."""

    def __init__(self, partitions: Partitions, daemon_id: DaemonId) -> None:
        self._partitions = partitions
        self._daemon_id = daemon_id
        self._count_task: asyncio.Task[DaemonStatus] | None = None

    async def count(self) -> DaemonStatus:
        """Counts now; concurrent calls share one count and its result."""
        if self._count_task is None or self._count_task.done():
            self._count_task = asyncio.create_task(self._count())
        return await asyncio.shield(self._count_task)

    async def _count(self) -> DaemonStatus:
        counts = _StatusCounts()
        partitions = []
        for runner in self._partitions.owned():
            partition = runner.partition
            if partition is None:
                continue
            await _count_jobs(partition, counts)
            _count_workers(partition, counts)
            counts.racks.extend(_moving_racks(partition))
            tables = partition.states.placement.tables
            partitions.append(
                PartitionStatus(
                    runner.partition_id,
                    self._daemon_id,
                    sum(tables.workers.is_present),
                    tables.queued_count,
                ),
            )
        return DaemonStatus(
            tuple(
                QueueStatus(
                    department,
                    priority,
                    queue.queued_count,
                    queue.running_count,
                    queue.oldest_wait_ms,
                )
                for (department, priority), queue in counts.queues.items()
            )[:_MAX_ROWS],
            tuple(
                WorkersStatus(
                    data_centre,
                    counted.live_count,
                    counted.leaving_count,
                    counted.quarantined_count,
                    counted.committed_cpu_milli,
                    counted.total_cpu_milli,
                    counted.unreachable_count,
                )
                for data_centre, counted in counts.workers.items()
            )[:_MAX_ROWS],
            tuple(counts.quarantines[:_MAX_ROWS]),
            tuple(partitions[:_MAX_ROWS]),
            tuple(counts.racks[:_MAX_ROWS]),
        )


async def _count_jobs(partition: OpenPartition, counts: _StatusCounts) -> None:
    tables = partition.states.placement.tables
    jobs = tables.jobs
    for position, (job_id, row) in enumerate(tuple(jobs.row_of.items()), 1):
        if position % _JOBS_PER_YIELD == 0:
            await asyncio.sleep(0)
        # Between two yields jobs may be removed and their rows reused.
        if jobs.row_of.get(job_id) != row or row in tables.ended_jobs:
            continue
        spec = jobs.spec[row]
        queue = counts.queues[spec.department, spec.priority]
        queued_count = jobs.startable_count(row)
        queue.queued_count += queued_count
        queue.running_count += len(jobs.task_rows[row])
        queue.running_count -= len(jobs.queued_rows(row))
        if queued_count:
            wait_ms = partition.now_ms() - jobs.accepted_at_ms[row]
            queue.oldest_wait_ms = max(queue.oldest_wait_ms, wait_ms)


def _moving_racks(partition: OpenPartition) -> Iterator[RackStatus]:
    pending = partition.racks.manager.pending
    for rack, moving in pending.racks.items():
        yield RackStatus(
            rack,
            partition.claim.partition_id,
            moving.step.value,
            pending.waited_ms(rack),
            moving.row_names,
        )


def _count_workers(partition: OpenPartition, counts: _StatusCounts) -> None:
    workers = partition.states.placement.tables.workers
    for worker_id, row in workers.row_of.items():
        info = workers.worker_info[row]
        counted = counts.workers[info.data_centre]
        if worker_id in partition.worker_events.closed_workers:
            counted.leaving_count += 1
        elif workers.is_present[row]:
            counted.live_count += 1
        else:
            counted.unreachable_count += 1
        total_cpu = info.capacity.cpu_milli
        counted.total_cpu_milli += total_cpu
        counted.committed_cpu_milli += total_cpu - workers.free_cpu[row]
        reason = workers.quarantine_reason[row]
        if reason:
            counted.quarantined_count += 1
            since_ms = partition.quarantines.since_ms(worker_id)
            counts.quarantines.append(
                QuarantineStatus(worker_id, reason, since_ms),
            )


__all__ = ('DaemonStatus', 'LocalStatus', 'StatusFetch')
