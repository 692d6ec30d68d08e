"""Makes records of multi-partition gangs that are valid for the tables."""

from typing import Any

from radishlift.core.ids import Attempt, JobId, PartitionId, TaskId
from radishlift.placement.gang_changes import can_start_in_parts, is_committable
from radishlift.placement.gang_home_changes import waiting_tasks
from radishlift.placement.gang_parts import NO_ROUND
from radishlift.placement.gang_records import (
    GangDecided,
    GangPartEnded,
    GangPartForgotten,
    GangShare,
)
from radishlift.placement.jobs import TaskState
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.records import (
    GangCommitted,
    GangMember,
    GangReserved,
    TaskEnded,
)

HOME = PartitionId('p1')


def make_hold(spec, worker_id, incarnation, reserved):
    members = (
        GangMember(
            TaskId(f'{spec.job_id}/{index}'),
            Attempt(1),
            worker_id,
            incarnation,
        )
        for index in range(spec.task_count)
    )
    return GangReserved(spec, HOME, tuple(members), reserved, 1)


def list_gang_records(
    tables: PartitionTables, number: int, state: TaskState
) -> list[Any]:
    """Lists valid next records of the kind that the number selects."""
    changes: list[Any] = []
    match number:
        case 0 | 4 | 7 | 8:
            remote = sorted(
                set(tables.gangs.parts) - set(tables.gangs.multi_partition)
            )
            changes = [end_remote_part(tables, job_id) for job_id in remote]
        case 3:
            changes = [
                GangCommitted(job_id, 1)
                for job_id, hold in sorted(tables.holds.items())
                if is_committable(tables, hold)
            ]
        case 6:
            changes = list_part_ends(tables, state)
        case 9:
            changes = [
                make_decision(tables, job_id, row)
                for job_id, row in sorted(tables.jobs.row_of.items())
                if can_start_in_parts(tables, row)
            ]
    return changes


def end_remote_part(tables: PartitionTables, job_id: JobId) -> Any:
    """Ends a member of a part, or removes a part without live members."""
    row = tables.jobs.row_of[job_id]
    for task in tables.jobs.task_rows[row].values():
        if tables.tasks.is_live(task):
            attempt = Attempt(tables.tasks.attempt[task])
            task_id = tables.tasks.task_id[task]
            return TaskEnded(task_id, attempt, TaskState.finished, 'other')
    return GangPartForgotten(job_id, NO_ROUND)


def list_part_ends(tables: PartitionTables, state: TaskState) -> list[Any]:
    """Lists records that end the first open share of each gang."""
    changes = []
    for job_id, gang in sorted(tables.gangs.multi_partition.items()):
        share = gang.open_shares()[0]
        is_here = share.partition_id == HOME and job_id in tables.gangs.parts
        ended = GangPartEnded(
            job_id,
            NO_ROUND,
            share.partition_id,
            () if is_here else share.tasks[1:],
            {} if is_here else {state: 1},
            1,
        )
        changes.append(ended)
    return changes


def make_decision(
    tables: PartitionTables, job_id: JobId, row: int
) -> GangDecided:
    """Assigns the first waiting task to the home and the others to p2."""
    tasks = waiting_tasks(tables, row)
    shares = (
        GangShare(HOME, tasks[:1]),
        GangShare(PartitionId('p2'), tasks[1:]),
    )
    return GangDecided(job_id, NO_ROUND, shares, 1)


__all__ = ('list_gang_records', 'make_hold')
