"""Column table of the workers of a partition."""

from typing import Any

from radishlift.core.ids import WorkerId
from radishlift.placement.jobs import Resources, WorkerInfo


class WorkerTable:
    """Workers of a partition and the capacity committed on each.

    `free_*` is the capacity less committed and held amounts. It is negative
    if a worker restarted with less capacity than is committed on it.
    `preemptible_*` is reserved by live attempts of normal or low priority
    that are not being stopped. `task_rows` are those with live attempts on the
    worker, `failed_task_rows` those with a counted failure there.
    """

    def __init__(self) -> None:
        self.row_of: dict[WorkerId, int] = {}
        self.worker_info: list[WorkerInfo] = []
        self.is_present: list[bool] = []
        self.quarantine_reason: list[str] = []
        self.task_rows: list[dict[int, None]] = []
        self.failed_task_rows: list[dict[int, None]] = []
        self.holds_count: list[int] = []
        self.free_cpu: list[int] = []
        self.free_memory: list[int] = []
        self.free_accelerators: list[int] = []
        self.preemptible_cpu: list[int] = []
        self.preemptible_memory: list[int] = []
        self._free_rows: list[int] = []

    def add(self, worker_info: WorkerInfo) -> int:
        """Adds an empty worker and returns its row."""
        row = self._free_rows.pop() if self._free_rows else self._grow()
        self.row_of[worker_info.worker_id] = row
        self.worker_info[row] = worker_info
        self.is_present[row] = True
        self.quarantine_reason[row] = ''
        self.task_rows[row] = {}
        self.failed_task_rows[row] = {}
        self.holds_count[row] = 0
        self.free_cpu[row] = worker_info.capacity.cpu_milli
        self.free_memory[row] = worker_info.capacity.memory_mb
        self.free_accelerators[row] = worker_info.capacity.accelerators_count
        self.preemptible_cpu[row] = 0
        self.preemptible_memory[row] = 0
        return row

    def remove(self, row: int) -> None:
        """Removes a worker and frees its row for reuse."""
        del self.row_of[self.worker_info[row].worker_id]
        self.is_present[row] = False
        self._free_rows.append(row)

    def fits(self, row: int, demand: Resources) -> bool:
        """Returns whether a demand fits into the free capacity."""
        return (
            demand.cpu_milli <= self.free_cpu[row]
            and demand.memory_mb <= self.free_memory[row]
            and demand.accelerators_count <= self.free_accelerators[row]
        )

    def allocate(self, row: int, amount: Resources) -> None:
        """Subtracts an amount from the free capacity."""
        self.free_cpu[row] -= amount.cpu_milli
        self.free_memory[row] -= amount.memory_mb
        self.free_accelerators[row] -= amount.accelerators_count

    def release(self, row: int, amount: Resources) -> None:
        """Adds an amount to the free capacity."""
        self.free_cpu[row] += amount.cpu_milli
        self.free_memory[row] += amount.memory_mb
        self.free_accelerators[row] += amount.accelerators_count

    def adjust_preemptible(
        self,
        row: int,
        amount: Resources,
        sign: int,
    ) -> None:
        """Adds or subtracts capacity of work that urgent work may preempt."""
        self.preemptible_cpu[row] += sign * amount.cpu_milli
        self.preemptible_memory[row] += sign * amount.memory_mb

    def is_schedulable(self, row: int) -> bool:
        """Returns whether the worker is present and not quarantined."""
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
            self.task_rows,
            self.failed_task_rows,
            self.holds_count,
            self.free_cpu,
            self.free_memory,
            self.free_accelerators,
            self.preemptible_cpu,
            self.preemptible_memory,
        ]


__all__ = ('WorkerTable',)
