"""Column tables of tasks and workers; rows are integer indexes.

Rows of removed entries are reused, so the length of a table is the largest
number of entries that it held at one time.
"""

from typing import Any, Final

from radishlift.core.ids import (
    Incarnation,
    TaskId,
    WorkerId,
)
from radishlift.placement.jobs import (
    Resources,
    TaskState,
)
from radishlift.placement.worker_table import WorkerTable

NO_ROW: Final = -1
NO_RESOURCES: Final = Resources(0, 0, 0)


class TaskTable:
    """Tasks that were started at least once and have not ended."""

    def __init__(self) -> None:
        self._row_of: dict[TaskId, int] = {}
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
        self.delayed: list[tuple[int, TaskId]] = []
        self.suspect_failures_count: list[int] = []
        self._free_rows: list[int] = []

    def add(self, job_row: int, index: int, task_id: TaskId) -> int:
        """Adds a queued task and returns its row."""
        row = self._free_rows.pop() if self._free_rows else self._grow()
        self._row_of[task_id] = row
        self.job_row[row] = job_row
        self.index[row] = index
        self.task_id[row] = task_id
        self.state[row] = TaskState.queued
        self.attempt[row] = 0
        self.worker_row[row] = NO_ROW
        self.incarnation[row] = Incarnation('')
        self.reserved[row] = NO_RESOURCES
        self.placed_at_ms[row] = 0
        self.is_requeued[row] = False
        self.failed_on[row] = ()
        self.retry_at_ms[row] = 0
        self.suspect_failures_count[row] = 0
        return row

    def remove(self, row: int) -> None:
        """Removes a task and frees its row for reuse."""
        self.job_row[row] = NO_ROW
        del self._row_of[self.task_id[row]]
        self._free_rows.append(row)

    def find(self, task_id: TaskId) -> int | None:
        """Returns the row of a task, or None."""
        return self._row_of.get(task_id)

    def is_live(self, row: int) -> bool:
        """Returns whether the current attempt has capacity allocated."""
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


__all__ = ('NO_RESOURCES', 'NO_ROW', 'TaskTable', 'WorkerTable')
