"""Column tables of jobs, tasks and workers; rows are integer indexes.

Rows of ended entities are reused, so the tables are as long as the largest
number of entities that were present at one time.
"""

from typing import Any, Final

from radishlift.core.ids import (
    Incarnation,
    JobId,
    PartitionId,
    TaskId,
    WorkerId,
)
from radishlift.placement.jobs import (
    JobSpec,
    Resources,
    TaskState,
    WorkerInfo,
)

NO_ROW: Final = -1
NOTHING: Final = Resources(0, 0, 0)


class JobTable:
    """Jobs of a partition.

    A task gets a row at its first start: the tasks from `fresh_index` on
    were never started, so that accepting or cancelling a job costs the same
    for any number of tasks. A gang that spans partitions is `is_held` while
    capacity is reserved for it, and `is_part` once its members here started.
    `passed_partitions` are those that handed the job off, its home first.
    """

    def __init__(self) -> None:
        self.row_of: dict[JobId, int] = {}
        self.spec: list[JobSpec] = []
        self.accepted_at_ms: list[int] = []
        self.passed_partitions: list[tuple[PartitionId, ...]] = []
        self.to_partition: list[PartitionId] = []
        self.is_cancelled: list[bool] = []
        self.is_held: list[bool] = []
        self.is_part: list[bool] = []
        self.fresh_index: list[int] = []
        self.requeued: list[dict[int, None]] = []
        self.task_rows: list[dict[int, int]] = []
        self.ended_counts: list[dict[TaskState, int]] = []
        self.ended_at_ms: list[int] = []
        self._free_rows: list[int] = []

    def add(
        self,
        spec: JobSpec,
        at_ms: int,
        passed: tuple[PartitionId, ...] = (),
    ) -> int:
        """Adds a job without task rows and returns its row."""
        row = self._free_rows.pop() if self._free_rows else self._grow()
        self.row_of[spec.job_id] = row
        self.spec[row] = spec
        self.accepted_at_ms[row] = at_ms
        self.passed_partitions[row] = passed
        self.to_partition[row] = PartitionId('')
        self.is_cancelled[row] = False
        self.is_held[row] = False
        self.is_part[row] = False
        self.fresh_index[row] = 0
        self.requeued[row] = {}
        self.task_rows[row] = {}
        self.ended_counts[row] = {}
        self.ended_at_ms[row] = 0
        return row

    def remove(self, row: int) -> None:
        """Forgets a job."""
        del self.row_of[self.spec[row].job_id]
        self._free_rows.append(row)

    def is_open(self, row: int) -> bool:
        """Tells whether tasks of the job may still be started here."""
        return not (self.is_cancelled[row] or self.to_partition[row])

    def startable_count(self, row: int) -> int:
        """Counts the queued tasks."""
        if self.is_held[row] or not self.is_open(row):
            return 0
        fresh_count = self.spec[row].task_count - self.fresh_index[row]
        return fresh_count + len(self.requeued[row])

    def has_live_attempts(self, row: int) -> bool:
        """Tells whether an attempt of the job may still run."""
        return len(self.task_rows[row]) != len(self.requeued[row])

    def from_partition(self, row: int) -> PartitionId:
        """Returns the partition that handed the job off, or ''."""
        passed = self.passed_partitions[row]
        return passed[-1] if passed else PartitionId('')

    def is_ended(self, row: int) -> bool:
        """Tells whether no task of the job is queued or live."""
        if self.task_rows[row] or self.is_held[row]:
            return False
        return self.startable_count(row) == 0

    def _grow(self) -> int:
        for column in self._columns():
            column.append(None)
        return len(self.spec) - 1

    def _columns(self) -> list[list[Any]]:
        return [
            self.spec,
            self.accepted_at_ms,
            self.passed_partitions,
            self.to_partition,
            self.is_cancelled,
            self.is_held,
            self.is_part,
            self.fresh_index,
            self.requeued,
            self.task_rows,
            self.ended_counts,
            self.ended_at_ms,
        ]


class TaskTable:
    """Tasks that were started at least once and have not ended."""

    def __init__(self) -> None:
        self.job_row: list[int] = []
        self.index: list[int] = []
        self.task_id: list[TaskId] = []
        self.state: list[TaskState] = []
        self.attempt: list[int] = []
        self.worker_row: list[int] = []
        self.incarnation: list[Incarnation] = []
        self.reserved: list[Resources] = []
        self.placed_at_ms: list[int] = []
        self.is_requeued: list[bool] = []
        self.failed_on: list[tuple[WorkerId, ...]] = []
        self._free_rows: list[int] = []

    def add(self, job_row: int, index: int, task_id: TaskId) -> int:
        """Adds a queued task and returns its row."""
        row = self._free_rows.pop() if self._free_rows else self._grow()
        self.job_row[row] = job_row
        self.index[row] = index
        self.task_id[row] = task_id
        self.state[row] = TaskState.queued
        self.attempt[row] = 0
        self.worker_row[row] = NO_ROW
        self.incarnation[row] = Incarnation('')
        self.reserved[row] = NOTHING
        self.placed_at_ms[row] = 0
        self.is_requeued[row] = False
        self.failed_on[row] = ()
        return row

    def remove(self, row: int) -> None:
        """Forgets a task."""
        self.job_row[row] = NO_ROW
        self._free_rows.append(row)

    def is_live(self, row: int) -> bool:
        """Tells whether the current attempt holds capacity."""
        return self.worker_row[row] != NO_ROW

    def _grow(self) -> int:
        for column in self._columns():
            column.append(None)
        return len(self.task_id) - 1

    def _columns(self) -> list[list[Any]]:
        return [
            self.job_row,
            self.index,
            self.task_id,
            self.state,
            self.attempt,
            self.worker_row,
            self.incarnation,
            self.reserved,
            self.placed_at_ms,
            self.is_requeued,
            self.failed_on,
        ]


class WorkerTable:
    """Workers of a partition and the capacity committed on each.

    `free_*` is the capacity less committed and held amounts. It is negative
    when a worker came back smaller than what is committed on it.
    `displaceable_*` is reserved by running work of normal or low priority.
    """

    def __init__(self) -> None:
        self.row_of: dict[WorkerId, int] = {}
        self.worker_info: list[WorkerInfo] = []
        self.is_present: list[bool] = []
        self.quarantine_reason: list[str] = []
        self.tasks: list[dict[int, None]] = []
        self.charged: list[dict[int, None]] = []
        self.holds_count: list[int] = []
        self.free_cpu: list[int] = []
        self.free_memory: list[int] = []
        self.free_accelerators: list[int] = []
        self.displaceable_cpu: list[int] = []
        self.displaceable_memory: list[int] = []
        self._free_rows: list[int] = []

    def add(self, described: WorkerInfo) -> int:
        """Adds an empty worker and returns its row."""
        row = self._free_rows.pop() if self._free_rows else self._grow()
        self.row_of[described.worker_id] = row
        self.worker_info[row] = described
        self.is_present[row] = True
        self.quarantine_reason[row] = ''
        self.tasks[row] = {}
        self.charged[row] = {}
        self.holds_count[row] = 0
        self.free_cpu[row] = described.capacity.cpu_milli
        self.free_memory[row] = described.capacity.memory_mb
        self.free_accelerators[row] = described.capacity.accelerators_count
        self.displaceable_cpu[row] = 0
        self.displaceable_memory[row] = 0
        return row

    def remove(self, row: int) -> None:
        """Forgets a worker."""
        del self.row_of[self.worker_info[row].worker_id]
        self.is_present[row] = False
        self._free_rows.append(row)

    def fits(self, row: int, demand: Resources) -> bool:
        """Tells whether a demand fits into the free capacity."""
        return (
            demand.cpu_milli <= self.free_cpu[row]
            and demand.memory_mb <= self.free_memory[row]
            and demand.accelerators_count <= self.free_accelerators[row]
        )

    def take(self, row: int, amount: Resources) -> None:
        """Takes an amount from the free capacity."""
        self.free_cpu[row] -= amount.cpu_milli
        self.free_memory[row] -= amount.memory_mb
        self.free_accelerators[row] -= amount.accelerators_count

    def give_back(self, row: int, amount: Resources) -> None:
        """Returns an amount to the free capacity."""
        self.free_cpu[row] += amount.cpu_milli
        self.free_memory[row] += amount.memory_mb
        self.free_accelerators[row] += amount.accelerators_count

    def displaceable(self, row: int) -> Resources:
        """Returns what running normal and low work reserves."""
        return Resources(
            self.displaceable_cpu[row],
            self.displaceable_memory[row],
        )

    def count_displaceable(
        self,
        row: int,
        amount: Resources,
        sign: int,
    ) -> None:
        """Counts work that urgent work may displace."""
        self.displaceable_cpu[row] += sign * amount.cpu_milli
        self.displaceable_memory[row] += sign * amount.memory_mb

    def can_take(self, row: int) -> bool:
        """Tells whether ordinary tasks may be placed on the worker."""
        return self.is_present[row] and not self.quarantine_reason[row]

    def _grow(self) -> int:
        for column in self._columns():
            column.append(None)
        return len(self.worker_info) - 1

    def _columns(self) -> list[list[Any]]:
        return [
            self.worker_info,
            self.is_present,
            self.quarantine_reason,
            self.tasks,
            self.charged,
            self.holds_count,
            self.free_cpu,
            self.free_memory,
            self.free_accelerators,
            self.displaceable_cpu,
            self.displaceable_memory,
        ]


__all__ = ('NOTHING', 'NO_ROW', 'JobTable', 'TaskTable', 'WorkerTable')
