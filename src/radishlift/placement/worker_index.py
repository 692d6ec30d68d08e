"""Index of workers by free capacity, searched without a full scan."""

from collections.abc import Iterator
from itertools import chain
from typing import Final

from radishlift.placement.amounts import is_within
from radishlift.placement.jobs import Resources
from radishlift.placement.tables import WorkerTable

LEVELS_COUNT: Final = 64
"""Levels in each dimension; one level is 1.6% of the largest worker."""


class FreeCapacityGrid:
    """Grid whose cells hold workers by level of free processor and memory.

    Bit masks skip empty cells, so the cost of a search does not depend on the
    number of workers, except for those in the same cell.
    """

    def __init__(self, largest: Resources) -> None:
        self._cpu_step = max(1, -(-largest.cpu_milli // LEVELS_COUNT))
        self._memory_step = max(1, -(-largest.memory_mb // LEVELS_COUNT))
        self._cells: dict[tuple[int, int], dict[int, None]] = {}
        self._cell_of: dict[int, tuple[int, int]] = {}
        self._memory_masks: list[int] = []
        self._cpu_mask = 0

    def update(self, row: int, cpu_milli: int, memory_mb: int) -> None:
        """Moves a worker to the cell of its free capacity."""
        cpu = cpu_milli // self._cpu_step if cpu_milli > 0 else 0
        memory = memory_mb // self._memory_step if memory_mb > 0 else 0
        cell = (cpu, memory)
        previous = self._cell_of.get(row)
        if previous == cell:
            return
        if previous is not None:
            self._remove_from_cell(row, previous)
        members = self._cells.get(cell)
        if members is None:
            members = self._add_cell(cell)
        members[row] = None
        self._cell_of[row] = cell

    def remove(self, row: int) -> None:
        """Removes a worker if it is present."""
        previous = self._cell_of.pop(row, None)
        if previous is not None:
            self._remove_from_cell(row, previous)

    def search(self, demand: Resources, *, is_tight: bool) -> Iterator[int]:
        """Yields workers that may fit a demand.

        Those with the least free capacity come first if `is_tight`, else
        those with the most. Workers in the lowest cells may have too little;
        the caller checks each.
        """
        low_memory = demand.memory_mb // self._memory_step
        low_cpu = demand.cpu_milli // self._cpu_step
        cpu_mask = self._cpu_mask >> low_cpu << low_cpu
        while cpu_mask:
            first = cpu_mask & -cpu_mask if is_tight else cpu_mask
            cpu = first.bit_length() - 1
            cpu_mask ^= 1 << cpu
            mask = self._memory_masks[cpu] >> low_memory << low_memory
            while mask:
                first = mask & -mask if is_tight else mask
                memory = first.bit_length() - 1
                mask ^= 1 << memory
                yield from self._cells[cpu, memory]

    def _add_cell(self, cell: tuple[int, int]) -> dict[int, None]:
        """Adds an empty cell and returns its workers."""
        cpu, memory = cell
        while len(self._memory_masks) <= cpu:
            self._memory_masks.append(0)
        self._memory_masks[cpu] |= 1 << memory
        self._cpu_mask |= 1 << cpu
        members: dict[int, None] = {}
        self._cells[cell] = members
        return members

    def _remove_from_cell(self, row: int, cell: tuple[int, int]) -> None:
        members = self._cells[cell]
        del members[row]
        if members:
            return
        del self._cells[cell]
        cpu, memory = cell
        self._memory_masks[cpu] ^= 1 << memory
        if not self._memory_masks[cpu]:
            self._cpu_mask ^= 1 << cpu


class WorkerIndex:
    """Grids of the schedulable workers, without and with accelerators.

    For a demand without accelerators, workers without them come first. With
    `is_preemptible_free`, capacity reserved by preemptible work counts as
    free.
    """

    def __init__(
        self,
        workers: WorkerTable,
        *,
        is_preemptible_free: bool = False,
    ) -> None:
        self._workers = workers
        self._is_preemptible_free = is_preemptible_free
        self._largest = Resources(0, 0, 0)
        self._grids: tuple[FreeCapacityGrid, ...] = ()
        self._rebuild(self._largest)

    def update(self, row: int) -> None:
        """Updates the free capacity of a worker, or removes the worker."""
        workers = self._workers
        if workers.quarantine_reason[row] or not workers.is_present[row]:
            self._remove(row)
            return
        capacity = workers.worker_info[row].capacity
        if not is_within(capacity, self._largest):
            self._grow(capacity)
        cpu_milli = workers.free_cpu[row]
        memory_mb = workers.free_memory[row]
        if self._is_preemptible_free:
            cpu_milli += workers.preemptible_cpu[row]
            memory_mb += workers.preemptible_memory[row]
        grid = self._grids[capacity.accelerators_count > 0]
        grid.update(row, cpu_milli, memory_mb)

    def search(self, demand: Resources, *, is_tight: bool) -> Iterator[int]:
        """Yields workers that may fit; the caller checks each."""
        without, with_accelerators = self._grids
        found = with_accelerators.search(demand, is_tight=is_tight)
        if demand.accelerators_count:
            return found
        return chain(without.search(demand, is_tight=is_tight), found)

    def _remove(self, row: int) -> None:
        for grid in self._grids:
            grid.remove(row)

    def _grow(self, capacity: Resources) -> None:
        largest = self._largest
        self._rebuild(
            Resources(
                max(largest.cpu_milli, capacity.cpu_milli),
                max(largest.memory_mb, capacity.memory_mb),
                max(largest.accelerators_count, capacity.accelerators_count),
            ),
        )

    def _rebuild(self, largest: Resources) -> None:
        self._largest = largest
        self._grids = (FreeCapacityGrid(largest), FreeCapacityGrid(largest))
        for row in list(self._workers.row_of.values()):
            self.update(row)


__all__ = ('FreeCapacityGrid', 'WorkerIndex')
