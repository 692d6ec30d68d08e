"""Converts the tables of a partition to plain data and back."""

from collections.abc import Iterator
from typing import Any, Final

from radishlift.core.codec import dump_plain
from radishlift.core.ids import PartitionId
from radishlift.core.kinds import UnknownFormatError
from radishlift.placement.gang_snapshots import (
    dump_gangs,
    load_gangs,
    parse,
)
from radishlift.placement.holds import apply_hold
from radishlift.placement.job_table import last_partition
from radishlift.placement.jobs import (
    JobSpec,
    Resources,
    TaskState,
    WorkerInfo,
)
from radishlift.placement.partition_tables import (
    PartitionTables,
)
from radishlift.placement.records import GangReserved, TaskPlaced
from radishlift.placement.tables import NO_ROW

FORMAT_VERSION: Final = 1


def dump_tables(tables: PartitionTables) -> dict[str, Any]:
    """Returns the durable columns as plain data.

    The state `running` is only observed, not journaled, so it is stored as
    `placed`. Entries are sorted by id, so that equal tables give equal data.
    """
    return {
        'version': FORMAT_VERSION,
        'workers': list(_dump_workers(tables)),
        'jobs': list(_dump_jobs(tables)),
        'tasks': list(_dump_tasks(tables)),
        'holds': [
            dump_plain(tables.holds[job_id]) for job_id in sorted(tables.holds)
        ],
        'gangs': dump_gangs(tables),
        'ended_jobs': [
            tables.jobs.spec[row].job_id for row in tables.ended_jobs
        ],
    }


def _dump_workers(tables: PartitionTables) -> Iterator[dict[str, Any]]:
    workers = tables.workers
    for _, row in sorted(workers.row_of.items()):
        yield {
            'worker': dump_plain(workers.worker_info[row]),
            'is_present': workers.is_present[row],
            'quarantine_reason': workers.quarantine_reason[row],
        }


def _dump_jobs(tables: PartitionTables) -> Iterator[dict[str, Any]]:
    jobs = tables.jobs
    for _, row in sorted(jobs.row_of.items()):
        counts = jobs.ended_counts[row].items()
        yield {
            'spec': dump_plain(jobs.spec[row]),
            'accepted_at_ms': jobs.accepted_at_ms[row],
            'from_partition': last_partition(jobs.passed_partitions[row]),
            'passed_partitions': list(jobs.passed_partitions[row]),
            'to_partition': jobs.to_partition[row],
            'is_cancelled': jobs.is_cancelled[row],
            'is_part': jobs.is_part[row],
            'fresh_index': jobs.first_unstarted_index[row],
            'ended_at_ms': jobs.ended_at_ms[row],
            'failure': jobs.first_failure(row),
            'ended': sorted([state.value, number] for state, number in counts),
        }


def _dump_tasks(tables: PartitionTables) -> Iterator[dict[str, Any]]:
    tasks = tables.tasks
    rows = [
        row
        for job_rows in tables.jobs.task_rows
        for row in job_rows.values()
        if tasks.job_row[row] != NO_ROW
    ]
    for row in sorted(rows, key=tasks.task_id.__getitem__):
        state = tasks.state[row]
        if state is TaskState.running:
            state = TaskState.placed
        yield {
            'task_id': tasks.task_id[row],
            'state': state.value,
            'attempt': tasks.attempt[row],
            'worker_id': _worker_id(tables, row),
            'incarnation': tasks.incarnation[row],
            'reserved': dump_plain(tasks.reserved[row]),
            'placed_at_ms': tasks.placed_at_ms[row],
            'is_requeued': tasks.is_requeued[row],
            'failed_on': list(tasks.failed_on[row]),
            'retry_at_ms': tasks.retry_at_ms[row],
            'suspect_failures': tasks.suspect_failures_count[row],
        }


def _worker_id(tables: PartitionTables, task_row: int) -> str:
    worker_row = tables.tasks.worker_row[task_row]
    if worker_row == NO_ROW:
        return ''
    return tables.workers.worker_info[worker_row].worker_id


def load_tables(plain: dict[str, Any]) -> PartitionTables:
    """Builds tables from plain data.

    Raises `UnknownFormatError` if the data has another format version.
    """
    if plain.get('version') != FORMAT_VERSION:
        raise UnknownFormatError('the snapshot has another format version')
    tables = PartitionTables()
    for worker in plain['workers']:
        _load_worker(tables, worker)
    for job in plain['jobs']:
        _load_job(tables, job)
    for task in plain['tasks']:
        _load_task(tables, task)
    for job_id in plain['ended_jobs']:
        tables.ended_jobs[tables.jobs.row_of[job_id]] = None
    for hold in plain['holds']:
        apply_hold(tables, parse(hold, GangReserved))
    load_gangs(tables, plain.get('gangs'))
    # Loading live attempts has subtracted them from the queue totals.
    tables.queued_count = 0
    tables.queued_demand = [0, 0]
    for row in tables.jobs.row_of.values():
        tables.adjust_queued(row, tables.jobs.startable_count(row))
    return tables


def _load_worker(tables: PartitionTables, plain: dict[str, Any]) -> None:
    row = tables.workers.add(parse(plain['worker'], WorkerInfo))
    tables.workers.is_present[row] = plain['is_present']
    tables.workers.quarantine_reason[row] = plain['quarantine_reason']
    tables.changed_workers[row] = None


def _load_job(tables: PartitionTables, plain: dict[str, Any]) -> None:
    jobs = tables.jobs
    spec = parse(plain['spec'], JobSpec)
    row = jobs.add(spec, plain['accepted_at_ms'], _passed_partitions(plain))
    jobs.to_partition[row] = plain['to_partition']
    jobs.is_cancelled[row] = plain['is_cancelled']
    jobs.is_part[row] = plain['is_part']
    jobs.first_unstarted_index[row] = plain['fresh_index']
    jobs.ended_at_ms[row] = plain['ended_at_ms']
    jobs.set_first_failure(row, plain.get('failure', ''))
    jobs.ended_counts[row] = {
        TaskState(name): number for name, number in plain['ended']
    }
    tables.enqueue(row)


def _passed_partitions(plain: dict[str, Any]) -> tuple[PartitionId, ...]:
    # Snapshots of earlier versions have only the last partition.
    source = plain['from_partition']
    before = [source] if source else []
    return tuple(plain.get('passed_partitions', before))


def _load_task(tables: PartitionTables, plain: dict[str, Any]) -> None:
    task_id = plain['task_id']
    job_row = tables.jobs.row_of[task_id.rpartition('/')[0]]
    index = int(task_id.rpartition('/')[2])
    row = tables.tasks.add(job_row, index, task_id)
    tables.jobs.task_rows[job_row][index] = row
    state = TaskState(plain['state'])
    if state is TaskState.queued:
        tables.requeue_task(row, plain.get('retry_at_ms', 0))
    else:
        _load_attempt(tables, row, plain)
    if state is TaskState.stopping:
        tables.adjust_preemptible(row, -1)
    tables.tasks.state[row] = state
    tables.tasks.attempt[row] = plain['attempt']
    tables.tasks.incarnation[row] = plain['incarnation']
    tables.tasks.placed_at_ms[row] = plain['placed_at_ms']
    tables.tasks.is_requeued[row] = plain['is_requeued']
    failures_count = plain.get('suspect_failures', 0)
    tables.tasks.suspect_failures_count[row] = failures_count
    _load_failures(tables, row, plain['failed_on'])


def _load_attempt(
    tables: PartitionTables,
    row: int,
    plain: dict[str, Any],
) -> None:
    placed = TaskPlaced(
        plain['task_id'],
        plain['attempt'],
        plain['worker_id'],
        plain['incarnation'],
        parse(plain['reserved'], Resources),
        plain['placed_at_ms'],
    )
    worker_row = tables.workers.row_of[placed.worker_id]
    tables.commit_attempt(row, worker_row, placed)


def _load_failures(
    tables: PartitionTables,
    row: int,
    worker_ids: list[Any],
) -> None:
    tables.tasks.failed_on[row] = tuple(worker_ids)
    for worker_id in worker_ids:
        worker_row = tables.workers.row_of.get(worker_id)
        if worker_row is not None:
            tables.workers.failed_task_rows[worker_row][row] = None


__all__ = ('dump_tables', 'load_tables')
