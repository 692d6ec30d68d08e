"""Column table of jobs; rows are integer indexes."""

from typing import Any

from radishlift.core.ids import JobId, PartitionId
from radishlift.placement.jobs import JobKind, JobSpec, TaskState


class JobTable:
    """Jobs of a partition.

    A task gets a row at its first start. The tasks from
    `first_unstarted_index` on have no rows, so that accepting or cancelling a
    job costs the same for any number of tasks.

    For multi-partition gangs, `is_held` is set while capacity is held here,
    `is_part` once members have started here, and `is_multi_partition` in the
    home from its decision to start the gang until all parts have ended.

    `passed_partitions` are those that handed the job off, its home first.
    Tasks in `requeued` may start again; those in `delayed_rows` wait after a
    failure.
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
        self.is_multi_partition: list[bool] = []
        self.first_unstarted_index: list[int] = []
        self.requeued: list[dict[int, None]] = []
        self._delayed: list[dict[int, None]] = []
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
        """Adds a job that has no task rows, and returns its row."""
        row = self._free_rows.pop() if self._free_rows else self._grow()
        self.row_of[spec.job_id] = row
        self.spec[row] = spec
        self.accepted_at_ms[row] = at_ms
        self.passed_partitions[row] = passed
        self.to_partition[row] = PartitionId('')
        self.is_cancelled[row] = False
        self.is_held[row] = False
        self.is_part[row] = False
        self.is_multi_partition[row] = False
        self.first_unstarted_index[row] = 0
        self.requeued[row] = {}
        self._delayed[row] = {}
        self._failure[row] = ''
        self.task_rows[row] = {}
        self.ended_counts[row] = {}
        self.ended_at_ms[row] = 0
        return row

    def remove(self, row: int) -> None:
        """Removes a job and frees its row for reuse."""
        del self.row_of[self.spec[row].job_id]
        self._free_rows.append(row)

    def is_open(self, row: int) -> bool:
        """Returns whether tasks of the job may still be started here."""
        return not (self.is_cancelled[row] or self.to_partition[row])

    def startable_count(self, row: int) -> int:
        """Counts the queued tasks that this partition places on its own.

        Includes tasks that wait after a failure; excludes the members of
        multi-partition gangs.
        """
        return 0 if self.starts_in_parts(row) else self.waiting_count(row)

    def waiting_count(self, row: int) -> int:
        """Counts the queued tasks, also members of multi-partition gangs."""
        if self.is_cancelled[row] or self.to_partition[row]:
            return 0
        unstarted_count = (
            self.spec[row].task_count - self.first_unstarted_index[row]
        )
        return (
            unstarted_count + len(self.requeued[row]) + len(self._delayed[row])
        )

    def ready_count(self, row: int) -> int:
        """Counts the queued tasks that may start now.

        Returns 0 for a gang while one of its members waits after a failure.
        """
        if self._delayed[row] and self.spec[row].kind is JobKind.gang:
            return 0
        if self.starts_in_parts(row) or not self.is_open(row):
            return 0
        unstarted_count = (
            self.spec[row].task_count - self.first_unstarted_index[row]
        )
        return unstarted_count + len(self.requeued[row])

    def delayed_rows(self, row: int) -> dict[int, None]:
        """Returns the rows of the tasks that wait after a failure."""
        return self._delayed[row]

    def queued_rows(self, row: int) -> list[int]:
        """Lists the rows of queued tasks that were started before."""
        return [*self.requeued[row], *self._delayed[row]]

    def starts_in_parts(self, row: int) -> bool:
        """Returns whether the tasks start as parts in several partitions."""
        return (
            self.is_held[row]
            or self.is_part[row]
            or self.is_multi_partition[row]
        )

    def has_live_attempts(self, row: int) -> bool:
        """Returns whether an attempt of the job may still run."""
        queued_count = len(self.requeued[row]) + len(self._delayed[row])
        return len(self.task_rows[row]) != queued_count

    def first_failure(self, row: int) -> str:
        """Returns the description of the first failed task, or ''."""
        return self._failure[row]

    def set_first_failure(self, row: int, detail: str) -> None:
        """Stores the description of a failed task unless there is one."""
        self._failure[row] = self._failure[row] or detail

    def is_ended(self, row: int) -> bool:
        """Returns whether no task of the job is queued or live."""
        if self.task_rows[row] or self.starts_in_parts(row):
            return False
        return self.waiting_count(row) == 0

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
            self.is_multi_partition,
            self.first_unstarted_index,
            self.requeued,
            self._delayed,
            self._failure,
            self.task_rows,
            self.ended_counts,
            self.ended_at_ms,
        ]


def last_partition(passed: tuple[PartitionId, ...]) -> PartitionId:
    """Returns the last partition that handed a job off, or ''."""
    return passed[-1] if passed else PartitionId('')


__all__ = ('JobTable', 'last_partition')
