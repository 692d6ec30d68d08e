"""Sums over the workers, kept up to date worker by worker."""

from collections import Counter

from radishlift.placement.amounts import minus, plus
from radishlift.placement.jobs import Resources
from radishlift.placement.tables import NOTHING, WorkerTable

_Amounts = tuple[int, int, int]
_NO_AMOUNTS: _Amounts = (0, 0, 0)

ANY_SIZE = Resources(2**62, 2**62, 2**62)
"""Stands for a worker of unknown size, which may fit any task."""


class Fleet:
    """Total capacity, sizes of workers, and where capacity became free.

    `grown` is, in each dimension, the most that is free on a worker on which
    more became free since it was last reset. `largest` is the most that a
    worker has in each dimension. `other_shapes` are the sizes of
    workers in other partitions.
    """

    def __init__(self) -> None:
        self.total = NOTHING
        self.grown = NOTHING
        self.largest = NOTHING
        self.shapes: Counter[Resources] = Counter()
        self.other_shapes: frozenset[Resources] = frozenset()
        self._capacity_of: dict[int, Resources] = {}
        self._free_of: dict[int, _Amounts] = {}

    def update(self, workers: WorkerTable, row: int) -> None:
        """Takes over the present capacity of a worker."""
        self._update_free(workers, row)
        capacity = NOTHING
        if workers.is_present[row]:
            capacity = workers.worker_info[row].capacity
        before = self._capacity_of.get(row, NOTHING)
        if capacity is before:
            return
        self._capacity_of[row] = capacity
        self.total = minus(plus(self.total, capacity), before)
        self._count_shape(capacity, 1)
        self._count_shape(before, -1)

    def _update_free(self, workers: WorkerTable, row: int) -> None:
        free = _NO_AMOUNTS
        if workers.is_present[row] and not workers.quarantine_reason[row]:
            free = (
                workers.free_cpu[row],
                workers.free_memory[row],
                workers.free_accelerators[row],
            )
        before = self._free_of.get(row, _NO_AMOUNTS)
        self._free_of[row] = free
        if free[0] > before[0] or free[1] > before[1] or free[2] > before[2]:
            grown = self.grown
            self.grown = Resources(
                max(grown.cpu_milli, free[0]),
                max(grown.memory_mb, free[1]),
                max(grown.accelerators_count, free[2]),
            )

    def _count_shape(self, shape: Resources, change: int) -> None:
        if shape == NOTHING:
            return
        self.shapes[shape] += change
        if not self.shapes[shape]:
            del self.shapes[shape]
        self.largest = Resources(
            max((known.cpu_milli for known in self.shapes), default=0),
            max((known.memory_mb for known in self.shapes), default=0),
            max((known.accelerators_count for known in self.shapes), default=0),
        )


__all__ = ('ANY_SIZE', 'Fleet')
