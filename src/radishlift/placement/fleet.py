"""Totals over the workers of a partition, updated incrementally."""

from collections import Counter

from radishlift.placement.amounts import minus, plus
from radishlift.placement.jobs import Resources
from radishlift.placement.tables import NO_RESOURCES, WorkerTable

_FreeAmounts = tuple[int, int, int]
_NOTHING_FREE: _FreeAmounts = (0, 0, 0)

ANY_SIZE = Resources(2**62, 2**62, 2**62)
"""Size of a worker whose size is unknown, so that any task may fit."""


class FleetTotals:
    """Total capacity, worker sizes, and capacity that became free.

    `newly_free` is the most that is free, in each dimension, on any worker
    whose free capacity grew since the last reset. `largest` is the largest
    capacity of a worker in each dimension. `shapes` counts the workers of each
    size, and `other_shapes` has the sizes of workers in other partitions.
    """

    def __init__(self) -> None:
        self.total = NO_RESOURCES
        self.newly_free = NO_RESOURCES
        self.largest = NO_RESOURCES
        self.shapes: Counter[Resources] = Counter()
        self.other_shapes: frozenset[Resources] = frozenset()
        self._capacity_of: dict[int, Resources] = {}
        self._free_of: dict[int, _FreeAmounts] = {}

    def update(self, workers: WorkerTable, row: int) -> None:
        """Updates the totals with the current capacity of a worker."""
        self._update_free(workers, row)
        capacity = NO_RESOURCES
        if workers.is_present[row]:
            capacity = workers.worker_info[row].capacity
        previous = self._capacity_of.get(row, NO_RESOURCES)
        if capacity is previous:
            return
        self._capacity_of[row] = capacity
        self.total = minus(plus(self.total, capacity), previous)
        self._count_shape(capacity, 1)
        self._count_shape(previous, -1)

    def _update_free(self, workers: WorkerTable, row: int) -> None:
        free = _NOTHING_FREE
        if workers.is_present[row] and not workers.quarantine_reason[row]:
            free = (
                workers.free_cpu[row],
                workers.free_memory[row],
                workers.free_accelerators[row],
            )
        previous = self._free_of.get(row, _NOTHING_FREE)
        self._free_of[row] = free
        if (
            free[0] > previous[0]
            or free[1] > previous[1]
            or free[2] > previous[2]
        ):
            grown = self.newly_free
            self.newly_free = Resources(
                max(grown.cpu_milli, free[0]),
                max(grown.memory_mb, free[1]),
                max(grown.accelerators_count, free[2]),
            )

    def _count_shape(self, shape: Resources, change: int) -> None:
        if shape == NO_RESOURCES:
            return
        self.shapes[shape] += change
        if not self.shapes[shape]:
            del self.shapes[shape]
        self.largest = Resources(
            max((known.cpu_milli for known in self.shapes), default=0),
            max((known.memory_mb for known in self.shapes), default=0),
            max((known.accelerators_count for known in self.shapes), default=0),
        )


__all__ = ('ANY_SIZE', 'FleetTotals')
