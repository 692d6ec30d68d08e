"""The tables of one partition and the changes that span several of them."""

import heapq
from collections import OrderedDict, defaultdict

from radishlift.core.ids import (
    DepartmentName,
    JobId,
    TaskId,
    TeamName,
    WorkerId,
)
from radishlift.placement.gang_records import GangTable
from radishlift.placement.job_table import JobTable
from radishlift.placement.jobs import (
    Priority,
    Resources,
    TaskState,
    job_id_of,
    task_id_of,
)
from radishlift.placement.records import GangReserved, TaskPlaced
from radishlift.placement.tables import NO_RESOURCES, NO_ROW, TaskTable
from radishlift.placement.worker_table import WorkerTable


class RecordRefusedError(Exception):
    """A record contradicts the tables because of a faulty journal or engine."""


class PartitionTables:
    """Tables of jobs, tasks and workers.

    `queued_jobs`, `queued_urgent_jobs`, `changed_workers` and
    `teams_below_quota` collect changes for the engine, which updates its
    indexes from them without a scan of the tables.
    """

    def __init__(self) -> None:
        self.jobs = JobTable()
        self.tasks = TaskTable()
        self.workers = WorkerTable()
        self.queued_jobs: dict[int, None] = {}
        self.queued_urgent_jobs: dict[int, None] = {}
        self.changed_workers: dict[int, None] = {}
        self.queued_count = 0
        self.queued_demand = [0, 0]
        # Jobs are removed from the front. To find its first key, a plain dict
        # would skip all entries that were removed there before.
        self.ended_jobs: OrderedDict[int, None] = OrderedDict()
        self.holds: dict[JobId, GangReserved] = {}
        self.gangs = GangTable()
        self.teams_below_quota: dict[TeamName, None] = {}
        self.team_usage: dict[TeamName, list[int]] = defaultdict(_zero_usage)
        self.department_usage: dict[DepartmentName, list[int]] = defaultdict(
            _zero_usage,
        )

    def has_task(self, task_id: TaskId) -> bool:
        """Returns whether a job in the table has this task, in any state."""
        job_row = self.jobs.row_of.get(job_id_of(task_id))
        if job_row is None:
            return False
        return 0 <= task_index(task_id) < self.jobs.spec[job_row].task_count

    def task_row(self, task_id: TaskId) -> int | None:
        """Returns the row of a task.

        Returns None if the task was never started, and `NO_ROW` if it has
        ended or is unknown.
        """
        row = self.tasks.find(task_id)
        if row is not None:
            return row
        jobs = self.jobs
        job_id, _, digits = task_id.rpartition('/')
        job_row = jobs.row_of.get(JobId(job_id))
        if job_row is None or not digits.isdecimal():
            return NO_ROW
        index = int(digits)
        row = jobs.task_rows[job_row].get(index)
        if row is not None:
            return row
        if index < jobs.first_unstarted_index[job_row]:
            return NO_ROW
        is_known = index < jobs.spec[job_row].task_count
        return None if is_known and jobs.is_open(job_row) else NO_ROW

    def add_tasks_up_to(self, job_row: int, index: int) -> int:
        """Adds rows for unstarted tasks up to an index; returns the last."""
        jobs = self.jobs
        job_id = jobs.spec[job_row].job_id
        row = NO_ROW
        for unstarted_index in range(
            jobs.first_unstarted_index[job_row], index + 1
        ):
            row = self.tasks.add(
                job_row, unstarted_index, task_id_of(job_id, unstarted_index)
            )
            jobs.task_rows[job_row][unstarted_index] = row
            jobs.requeued[job_row][row] = None
        jobs.first_unstarted_index[job_row] = index + 1
        return row

    def commit_attempt(
        self,
        row: int,
        worker_row: int,
        placed: TaskPlaced,
    ) -> None:
        """Allocates capacity of a worker to an attempt."""
        tasks = self.tasks
        job_row = tasks.job_row[row]
        tasks.state[row] = TaskState.placed
        tasks.attempt[row] = placed.attempt
        tasks.worker_row[row] = worker_row
        tasks.incarnation[row] = placed.incarnation
        tasks.reserved[row] = placed.reserved
        tasks.placed_at_ms[row] = placed.placed_at_ms
        tasks.retry_at_ms[row] = 0
        self.jobs.requeued[job_row].pop(row, None)
        self.jobs.delayed_rows(job_row).pop(row, None)
        self.workers.task_rows[worker_row][row] = None
        self.workers.allocate(worker_row, placed.reserved)
        self.adjust_queued(job_row, -1)
        self._adjust_usage(job_row, placed.reserved, 1)
        self.adjust_preemptible(row, 1)
        self.changed_workers[worker_row] = None

    def adjust_queued(self, job_row: int, tasks_count: int) -> None:
        """Adds tasks to the queue totals; a negative count removes them."""
        demand = self.jobs.spec[job_row].demand
        self.queued_count += tasks_count
        self.queued_demand[0] += demand.cpu_milli * tasks_count
        self.queued_demand[1] += demand.memory_mb * tasks_count

    def adjust_preemptible(self, row: int, sign: int) -> None:
        """Adds or subtracts an attempt if urgent work may preempt it."""
        priority = self.jobs.spec[self.tasks.job_row[row]].priority
        if priority is Priority.normal or priority is Priority.low:
            self.workers.adjust_preemptible(
                self.tasks.worker_row[row],
                self.tasks.reserved[row],
                sign,
            )

    def release_attempt(self, row: int, *, counts_failure: bool) -> None:
        """Frees the capacity of an attempt.

        With `counts_failure`, the worker is added to those on which the task
        failed.
        """
        worker_row = self.tasks.worker_row[row]
        reserved = self.tasks.reserved[row]
        if self.tasks.state[row] is not TaskState.stopping:
            self.adjust_preemptible(row, -1)
        self.workers.task_rows[worker_row].pop(row)
        self.workers.release(worker_row, reserved)
        self._adjust_usage(self.tasks.job_row[row], reserved, -1)
        self.changed_workers[worker_row] = None
        self.tasks.worker_row[row] = NO_ROW
        self.tasks.reserved[row] = NO_RESOURCES
        if counts_failure:
            self._record_failure(row, worker_row)
        self.remove_worker_if_unused(worker_row)

    def enqueue(self, job_row: int) -> None:
        """Marks a job as having queued tasks, for admission.

        Urgent jobs are separate, so that they don't wait for the admission of
        a burst of other jobs.
        """
        pending = self.queued_jobs
        if self.jobs.spec[job_row].priority is Priority.urgent:
            pending = self.queued_urgent_jobs
        pending[job_row] = None

    def requeue_task(self, row: int, retry_at_ms: int) -> None:
        """Queues a task that was started before.

        The task may start from `retry_at_ms` on; 0 means at once.
        """
        job_row = self.tasks.job_row[row]
        self.tasks.retry_at_ms[row] = retry_at_ms
        if retry_at_ms:
            self.jobs.delayed_rows(job_row)[row] = None
            entry = (retry_at_ms, self.tasks.task_id[row])
            heapq.heappush(self.tasks.delayed, entry)
        else:
            self.jobs.requeued[job_row][row] = None

    def remove_task(self, row: int) -> None:
        """Removes the row of an ended task."""
        jobs = self.jobs
        job_row = self.tasks.job_row[row]
        for worker_id in self.tasks.failed_on[row]:
            worker_row = self.workers.row_of.get(worker_id)
            if worker_row is not None:
                self.workers.failed_task_rows[worker_row].pop(row, None)
        delayed = jobs.delayed_rows(job_row)
        jobs.requeued[job_row].pop(row, None)
        delayed.pop(row, None)
        jobs.task_rows[job_row].pop(self.tasks.index[row])
        if jobs.requeued[job_row] or delayed:
            # A gang is admitted again once no member has a live attempt.
            self.queued_jobs[job_row] = None
        self.tasks.remove(row)

    def end_job_if_done(self, job_row: int, ended_at_ms: int) -> None:
        """Marks a job as ended if no task is queued or live."""
        if self.jobs.is_ended(job_row) and job_row not in self.ended_jobs:
            # Records without a time use the time of acceptance.
            begin_ms = self.jobs.accepted_at_ms[job_row]
            self.jobs.ended_at_ms[job_row] = ended_at_ms or begin_ms
            self.ended_jobs[job_row] = None

    def remove_worker_if_unused(self, worker_row: int) -> None:
        """Deletes a removed worker that has no attempts and no holds."""
        workers = self.workers
        if workers.is_present[worker_row]:
            return
        if not (
            workers.task_rows[worker_row] or workers.holds_count[worker_row]
        ):
            self.clear_failures_on_worker(worker_row)
            workers.remove(worker_row)

    def clear_failures_on_worker(self, worker_row: int) -> None:
        """Removes the failures on a worker from the counts of its tasks."""
        worker_id = self.workers.worker_info[worker_row].worker_id
        for row in self.workers.failed_task_rows[worker_row]:
            remaining = _remove_worker_id(self.tasks.failed_on[row], worker_id)
            self.tasks.failed_on[row] = remaining
        self.workers.failed_task_rows[worker_row] = {}

    def _record_failure(self, row: int, worker_row: int) -> None:
        worker_id = self.workers.worker_info[worker_row].worker_id
        self.tasks.failed_on[row] += (worker_id,)
        self.workers.failed_task_rows[worker_row][row] = None

    def _adjust_usage(self, job_row: int, amount: Resources, sign: int) -> None:
        spec = self.jobs.spec[job_row]
        if sign < 0:
            self.teams_below_quota[spec.team] = None
        cpu_milli = sign * amount.cpu_milli
        memory_mb = sign * amount.memory_mb
        of_team = self.team_usage[spec.team]
        of_department = self.department_usage[spec.department]
        of_team[0] += cpu_milli
        of_department[0] += cpu_milli
        of_team[1] += memory_mb
        of_department[1] += memory_mb
        if amount.accelerators_count:
            of_team[2] += sign * amount.accelerators_count
            of_department[2] += sign * amount.accelerators_count


def _zero_usage() -> list[int]:
    return [0, 0, 0]


def _remove_worker_id(
    worker_ids: tuple[WorkerId, ...],
    removed: WorkerId,
) -> tuple[WorkerId, ...]:
    return tuple(known for known in worker_ids if known != removed)


def task_index(task_id: TaskId) -> int:
    """Returns the index of a task in its job, or `NO_ROW` if malformed."""
    digits = task_id.rpartition('/')[2]
    return int(digits) if digits.isdecimal() else NO_ROW


__all__ = ('PartitionTables', 'RecordRefusedError', 'task_index')
