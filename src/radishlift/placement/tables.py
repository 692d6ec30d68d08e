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
    JobKind,
    JobSpec,
    Resources,
    TaskState,
)
from radishlift.placement.worker_table import WorkerTable

NO_ROW: Final = -1
NOTHING: Final = Resources(0, 0, 0)


class JobTable:
    """Jobs of a partition.

    A task gets a row at its first start: the tasks from `fresh_index` on
    were never started, so that accepting or cancelling a job costs the same
    for any number of tasks. A gang that spans partitions is `is_held` while
    capacity is reserved for it, and `is_part` once its members here started.
    `passed_partitions` are those that handed the job off, its home first.
    `requeued` tasks may start again; `delayed` ones wait after a failure.
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
        self.delayed: list[dict[int, None]] = []
        self._failure: list[str] = []
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
        self.delayed[row] = {}
        self._failure[row] = ''
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
        """Counts the queued tasks, also those that wait after a failure."""
        if self.is_held[row] or not self.is_open(row):
            return 0
        fresh_count = self.spec[row].task_count - self.fresh_index[row]
        return fresh_count + len(self.requeued[row]) + len(self.delayed[row])

    def ready_count(self, row: int) -> int:
        """Counts the queued tasks that may start now; a gang is whole."""
        delayed_count = len(self.delayed[row])
        if delayed_count and self.spec[row].kind is JobKind.gang:
            return 0
        return max(0, self.startable_count(row) - delayed_count)

    def queued_rows(self, row: int) -> list[int]:
        """Lists the queued tasks that were started before."""
        return [*self.requeued[row], *self.delayed[row]]

    def has_live_attempts(self, row: int) -> bool:
        """Tells whether an attempt of the job may still run."""
        return len(self.task_rows[row]) != len(self.queued_rows(row))

    def failure_of(self, row: int) -> str:
        """Tells which task ended as failed first, or ''."""
        return self._failure[row]

    def note_failure(self, row: int, detail: str) -> None:
        """Keeps the first task that ended as failed."""
        self._failure[row] = self._failure[row] or detail

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
            self.delayed,
            self._failure,
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
        self.retry_at_ms: list[int] = []
        self.suspect_failures_count: list[int] = []
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
        self.retry_at_ms[row] = 0
        self.suspect_failures_count[row] = 0
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
            self.retry_at_ms,
            self.suspect_failures_count,
        ]


__all__ = ('NOTHING', 'NO_ROW', 'JobTable', 'TaskTable', 'WorkerTable')
