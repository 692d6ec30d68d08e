"""Capacity held for parts of multi-partition gangs."""

from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.records import GangReserved
from radishlift.placement.tables import NO_ROW


def apply_hold(tables: PartitionTables, hold: GangReserved) -> None:
    """Allocates the capacity of a hold.

    The caller has checked that the capacity is free.
    """
    tables.holds[hold.spec.job_id] = hold
    for member in hold.members:
        worker_row = tables.workers.row_of[member.worker_id]
        tables.workers.allocate(worker_row, hold.reserved)
        tables.workers.holds_count[worker_row] += 1
        tables.changed_workers[worker_row] = None
    job_row = tables.jobs.row_of.get(hold.spec.job_id, NO_ROW)
    if job_row != NO_ROW:
        # Held members are not placed one by one, so they leave the queue.
        tables.adjust_queued(job_row, -tables.jobs.startable_count(job_row))
        tables.jobs.is_held[job_row] = True


def release_hold(tables: PartitionTables, hold: GangReserved) -> None:
    """Frees the capacity of a hold."""
    del tables.holds[hold.spec.job_id]
    for member in hold.members:
        worker_row = tables.workers.row_of[member.worker_id]
        tables.workers.release(worker_row, hold.reserved)
        tables.workers.holds_count[worker_row] -= 1
        tables.changed_workers[worker_row] = None
        tables.remove_worker_if_unused(worker_row)
    job_row = tables.jobs.row_of.get(hold.spec.job_id, NO_ROW)
    if job_row != NO_ROW:
        tables.jobs.is_held[job_row] = False
        tables.adjust_queued(job_row, tables.jobs.startable_count(job_row))
        tables.enqueue(job_row)


__all__ = ('release_hold', 'apply_hold')
