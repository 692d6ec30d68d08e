"""The tables of one partition and the steps that keep them consistent."""

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
from radishlift.placement.tables import NO_ROW, NOTHING, TaskTable
from radishlift.placement.worker_table import WorkerTable


class RecordRefusedError(Exception):
    """A record contradicts the tables; the journal or engine is faulty."""


class PartitionTables:
    """Tables of jobs, tasks and workers.

    `queued_jobs`, `changed_workers` and `shrunk_teams` collect what changed
    since the engine last looked, so that it keeps its indexes without scans.
    """

    def __init__(self) -> None:
        self.jobs = JobTable()
        self.tasks = TaskTable()
        self.workers = WorkerTable()
        self.queued_jobs: dict[int, None] = {}
        self.queued_urgent_jobs: dict[int, None] = {}
        self.changed_workers: dict[int, None] = {}
        self.queued_count = 0
        self.queued = [0, 0]
        # Jobs are forgotten from the front. A plain dict would skip all that
        # were removed there on each look at the first one.
        self.ended_jobs: OrderedDict[int, None] = OrderedDict()
        self.holds: dict[JobId, GangReserved] = {}
        self.gangs = GangTable()
        self.shrunk_teams: dict[TeamName, None] = {}
        self.team_use: dict[TeamName, list[int]] = defaultdict(_no_use)
        self.department_use: dict[DepartmentName, list[int]] = defaultdict(
            _no_use,
        )

    def has_task(self, task_id: TaskId) -> bool:
        """Tells whether a known job has this task, in any state."""
        job_row = self.jobs.row_of.get(job_id_of(task_id))
        if job_row is None:
            return False
        return 0 <= task_index(task_id) < self.jobs.spec[job_row].task_count

    def task_row(self, task_id: TaskId) -> int | None:
        """Finds a task; None if unstarted, `NO_ROW` if ended or unknown."""
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
        if index < jobs.fresh_index[job_row]:
            return NO_ROW
        is_known = index < jobs.spec[job_row].task_count
        return None if is_known and jobs.is_open(job_row) else NO_ROW

    def add_tasks_up_to(self, job_row: int, index: int) -> int:
        """Gives rows to the unstarted tasks of a job up to this one."""
        jobs = self.jobs
        job_id = jobs.spec[job_row].job_id
        row = NO_ROW
        for fresh in range(jobs.fresh_index[job_row], index + 1):
            row = self.tasks.add(job_row, fresh, task_id_of(job_id, fresh))
            jobs.task_rows[job_row][fresh] = row
            jobs.requeued[job_row][row] = None
        jobs.fresh_index[job_row] = index + 1
        return row

    def commit_attempt(
        self,
        row: int,
        worker_row: int,
        placed: TaskPlaced,
    ) -> None:
        """Binds an attempt to a worker and takes its capacity."""
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
        self.jobs.delayed_of(job_row).pop(row, None)
        self.workers.tasks[worker_row][row] = None
        self.workers.take(worker_row, placed.reserved)
        self.count_queued(job_row, -1)
        self._count_use(job_row, placed.reserved, 1)
        self.count_displaceable(row, 1)
        self.changed_workers[worker_row] = None

    def count_queued(self, job_row: int, tasks_count: int) -> None:
        """Counts tasks that enter or leave the queue, and their demand."""
        demand = self.jobs.spec[job_row].demand
        self.queued_count += tasks_count
        self.queued[0] += demand.cpu_milli * tasks_count
        self.queued[1] += demand.memory_mb * tasks_count

    def count_displaceable(self, row: int, sign: int) -> None:
        """Counts an attempt if its priority lets urgent work displace it."""
        priority = self.jobs.spec[self.tasks.job_row[row]].priority
        if priority is Priority.normal or priority is Priority.low:
            self.workers.count_displaceable(
                self.tasks.worker_row[row],
                self.tasks.reserved[row],
                sign,
            )

    def release_attempt(self, row: int, *, is_charged: bool) -> None:
        """Returns the capacity of an attempt to its worker."""
        worker_row = self.tasks.worker_row[row]
        reserved = self.tasks.reserved[row]
        if self.tasks.state[row] is not TaskState.stopping:
            self.count_displaceable(row, -1)
        self.workers.tasks[worker_row].pop(row)
        self.workers.give_back(worker_row, reserved)
        self._count_use(self.tasks.job_row[row], reserved, -1)
        self.changed_workers[worker_row] = None
        self.tasks.worker_row[row] = NO_ROW
        self.tasks.reserved[row] = NOTHING
        if is_charged:
            self._charge(row, worker_row)
        self.remove_worker_if_unused(worker_row)

    def enqueue(self, job_row: int) -> None:
        """Notes that a job may have queued tasks.

        Urgent jobs are kept apart, so that they don't wait until a burst of
        other submissions is admitted.
        """
        pending = self.queued_jobs
        if self.jobs.spec[job_row].priority is Priority.urgent:
            pending = self.queued_urgent_jobs
        pending[job_row] = None

    def queue_again(self, row: int, retry_at_ms: int) -> None:
        """Queues a task that was started before; 0 means at once."""
        job_row = self.tasks.job_row[row]
        self.tasks.retry_at_ms[row] = retry_at_ms
        if retry_at_ms:
            self.jobs.delayed_of(job_row)[row] = None
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
                self.workers.charged[worker_row].pop(row, None)
        delayed = jobs.delayed_of(job_row)
        jobs.requeued[job_row].pop(row, None)
        delayed.pop(row, None)
        jobs.task_rows[job_row].pop(self.tasks.index[row])
        if jobs.requeued[job_row] or delayed:
            # A gang is admitted again once no member is live.
            self.queued_jobs[job_row] = None
        self.tasks.remove(row)

    def end_job(self, job_row: int, ended_at_ms: int) -> None:
        """Notes the end of a job if none of its tasks is left."""
        if self.jobs.is_ended(job_row) and job_row not in self.ended_jobs:
            # Records without a time count from the acceptance.
            begin_ms = self.jobs.accepted_at_ms[job_row]
            self.jobs.ended_at_ms[job_row] = ended_at_ms or begin_ms
            self.ended_jobs[job_row] = None

    def remove_worker_if_unused(self, worker_row: int) -> None:
        """Removes a worker that is gone and holds no attempt."""
        workers = self.workers
        if workers.is_present[worker_row]:
            return
        if not (workers.tasks[worker_row] or workers.holds_count[worker_row]):
            self.refund_charges(worker_row)
            workers.remove(worker_row)

    def refund_charges(self, worker_row: int) -> None:
        """Takes back the failures that tasks were charged for a worker."""
        worker_id = self.workers.worker_info[worker_row].worker_id
        for row in self.workers.charged[worker_row]:
            remaining = _without(self.tasks.failed_on[row], worker_id)
            self.tasks.failed_on[row] = remaining
        self.workers.charged[worker_row] = {}

    def _charge(self, row: int, worker_row: int) -> None:
        worker_id = self.workers.worker_info[worker_row].worker_id
        self.tasks.failed_on[row] += (worker_id,)
        self.workers.charged[worker_row][row] = None

    def _count_use(self, job_row: int, amount: Resources, sign: int) -> None:
        spec = self.jobs.spec[job_row]
        if sign < 0:
            self.shrunk_teams[spec.team] = None
        cpu_milli = sign * amount.cpu_milli
        memory_mb = sign * amount.memory_mb
        of_team = self.team_use[spec.team]
        of_department = self.department_use[spec.department]
        of_team[0] += cpu_milli
        of_department[0] += cpu_milli
        of_team[1] += memory_mb
        of_department[1] += memory_mb
        if amount.accelerators_count:
            of_team[2] += sign * amount.accelerators_count
            of_department[2] += sign * amount.accelerators_count


def _no_use() -> list[int]:
    return [0, 0, 0]


def _without(
    worker_ids: tuple[WorkerId, ...],
    removed: WorkerId,
) -> tuple[WorkerId, ...]:
    return tuple(known for known in worker_ids if known != removed)


def task_index(task_id: TaskId) -> int:
    """Returns the position of a task in its job; -1 if malformed."""
    digits = task_id.rpartition('/')[2]
    return int(digits) if digits.isdecimal() else NO_ROW


__all__ = ('PartitionTables', 'RecordRefusedError', 'task_index')
