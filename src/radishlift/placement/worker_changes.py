"""Changes that the records of workers make to the tables."""

from radishlift.placement.changes import change
from radishlift.placement.jobs import Resources, WorkerInfo
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.records import (
    WorkerObserved,
    WorkerQuarantined,
    WorkerRemoved,
    WorkerReturned,
)


@change(WorkerObserved)
def observe_worker(tables: PartitionTables, record: WorkerObserved) -> None:
    """Adds a worker or updates its incarnation and capacity.

    Attempts of an earlier incarnation stay committed until they end. A new
    incarnation is a new process, so the quarantine ends.
    """
    worker_info = record.worker
    row = tables.workers.row_of.get(worker_info.worker_id)
    if row is None:
        row = tables.workers.add(worker_info)
    else:
        _update_worker(tables, row, worker_info)
    tables.changed_workers[row] = None


def _update_worker(
    tables: PartitionTables,
    row: int,
    worker_info: WorkerInfo,
) -> None:
    workers = tables.workers
    previous = workers.worker_info[row]
    if previous.incarnation != worker_info.incarnation:
        workers.quarantine_reason[row] = ''
    workers.worker_info[row] = worker_info
    workers.is_present[row] = True
    workers.release(row, _difference(worker_info.capacity, previous.capacity))


def _difference(left: Resources, right: Resources) -> Resources:
    return Resources(
        left.cpu_milli - right.cpu_milli,
        left.memory_mb - right.memory_mb,
        left.accelerators_count - right.accelerators_count,
    )


@change(WorkerRemoved)
def remove_worker(tables: PartitionTables, record: WorkerRemoved) -> None:
    """Marks a worker as removed."""
    row = tables.workers.row_of.get(record.worker_id)
    if row is None:
        return
    if tables.workers.worker_info[row].incarnation != record.incarnation:
        return
    tables.workers.is_present[row] = False
    tables.changed_workers[row] = None
    tables.remove_worker_if_unused(row)


@change(WorkerQuarantined)
def quarantine_worker(
    tables: PartitionTables,
    record: WorkerQuarantined,
) -> None:
    """Quarantines a worker; failures on it no longer count for tasks."""
    row = tables.workers.row_of.get(record.worker_id)
    if row is None:
        return
    if tables.workers.worker_info[row].incarnation != record.incarnation:
        return
    tables.workers.quarantine_reason[row] = record.reason
    tables.clear_failures_on_worker(row)
    tables.changed_workers[row] = None


@change(WorkerReturned)
def return_worker(tables: PartitionTables, record: WorkerReturned) -> None:
    """Ends the quarantine of a worker."""
    row = tables.workers.row_of.get(record.worker_id)
    if row is not None:
        tables.workers.quarantine_reason[row] = ''
        tables.changed_workers[row] = None


__all__ = ('observe_worker', 'quarantine_worker', 'remove_worker')
