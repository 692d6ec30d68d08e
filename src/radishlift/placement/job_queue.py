"""Queue of jobs, grouped by equal demand.

All jobs of a group are alike to placement: when one does not fit, the whole
group is blocked until capacity or quota that could help becomes free.
"""

import heapq
from collections.abc import Callable, Collection, Iterator
from typing import Any, NamedTuple

from sortedcontainers import SortedList

from radishlift.core.ids import DepartmentName, TeamName
from radishlift.placement.jobs import Resources
from radishlift.placement.tables import JobTable

OrderKey = tuple[int, ...]


class GroupKey(NamedTuple):
    """What the jobs of a group have in common; rank 0 goes first."""

    rank: int
    department: DepartmentName
    team: TeamName
    demand: Resources
    is_gang: bool


class Group:
    """Jobs of equal demand, in queue order."""

    __slots__ = ('blocked_by', 'entry', 'heap', 'key')

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self.heap: list[tuple[OrderKey, int, int]] = []
        self.entry: tuple[Any, ...] | None = None
        self.blocked_by = ''


class JobQueue:
    """Groups of queued jobs, by rank and department."""

    def __init__(self, jobs: JobTable) -> None:
        self._jobs = jobs
        self._groups: dict[GroupKey, Group] = {}
        self._active: dict[int, dict[DepartmentName, SortedList]] = {}
        self._blocked: dict[Resources, dict[GroupKey, Group]] = {}
        self._placement_of: dict[int, tuple[GroupKey, int]] = {}
        self._sequence = 0

    def add(self, job_row: int, key: GroupKey, order: OrderKey) -> None:
        """Adds a job, or moves it to another group."""
        if self._placement_of.get(job_row, (None,))[0] == key:
            return
        self._sequence += 1
        self._placement_of[job_row] = (key, self._sequence)
        group = self._groups.get(key)
        if group is None:
            group = Group(key)
            self._groups[key] = group
        heapq.heappush(group.heap, (order, self._sequence, job_row))
        if not group.blocked_by:
            self._activate(group)

    def key_of(self, job_row: int) -> GroupKey | None:
        """Returns the group that a job waits in."""
        placement = self._placement_of.get(job_row)
        return None if placement is None else placement[0]

    def group_of(self, job_row: int) -> Group | None:
        """Returns the group of a job with its blocking reason."""
        key = self.key_of(job_row)
        return None if key is None else self._groups.get(key)

    def head(self, group: Group) -> int | None:
        """Returns the first job of a group, dropping jobs that left."""
        while group.heap:
            _, sequence, job_row = group.heap[0]
            if self._placement_of.get(job_row) == (group.key, sequence):
                if self._jobs.startable_count(job_row):
                    return job_row
                del self._placement_of[job_row]
            heapq.heappop(group.heap)
        self._drop(group)
        return None

    def next_group(
        self,
        share_of: Callable[[DepartmentName], float],
        closed: Collection[DepartmentName] = (),
    ) -> Group | None:
        """Returns the group whose head goes next.

        The lowest rank goes first, then the department with the least share;
        departments in `closed` are passed over.
        """
        for rank in sorted(self._active):
            departments = self._active[rank]
            names = [name for name in departments if name not in closed]
            if names:
                name = min(names, key=share_of)
                return departments[name][0][-1]
        return None

    def refresh(self, group: Group) -> None:
        """Puts a group to the place of its present head."""
        if self.head(group) is not None and not group.blocked_by:
            self._activate(group)

    def block(self, group: Group, reason: str) -> None:
        """Sets a group aside until it is woken."""
        self._deactivate(group)
        group.blocked_by = reason
        self._blocked.setdefault(group.key.demand, {})[group.key] = group

    def wake_fitting(self, free: Resources) -> None:
        """Wakes the groups whose demand fits into a free amount."""
        fitting = [
            demand
            for demand in self._blocked
            if demand.cpu_milli <= free.cpu_milli
            and demand.memory_mb <= free.memory_mb
            and demand.accelerators_count <= free.accelerators_count
        ]
        for demand in fitting:
            for group in self._blocked.pop(demand).values():
                self._wake(group)

    def wake_all(self) -> None:
        """Wakes all groups, after a change of workers, rules or quotas."""
        blocked = self._blocked
        self._blocked = {}
        for groups in blocked.values():
            for group in groups.values():
                self._wake(group)

    def blocked_groups(self) -> Iterator[Group]:
        """Yields the groups that were found not to be startable now."""
        for groups in self._blocked.values():
            yield from groups.values()

    def groups(self) -> Iterator[Group]:
        """Yields all groups."""
        yield from self._groups.values()

    def _wake(self, group: Group) -> None:
        group.blocked_by = ''
        self.refresh(group)

    def _activate(self, group: Group) -> None:
        order, sequence, _ = group.heap[0]
        entry = (order, sequence, group)
        if group.entry is not None:
            if group.entry[1] == sequence:
                return
            self._deactivate(group)
        departments = self._active.setdefault(group.key.rank, {})
        waiting = departments.get(group.key.department)
        if waiting is None:
            waiting = SortedList(key=_entry_order)
            departments[group.key.department] = waiting
        waiting.add(entry)
        group.entry = entry

    def _deactivate(self, group: Group) -> None:
        if group.entry is None:
            return
        departments = self._active[group.key.rank]
        waiting = departments[group.key.department]
        waiting.remove(group.entry)
        group.entry = None
        if not waiting:
            del departments[group.key.department]
        if not departments:
            del self._active[group.key.rank]

    def _drop(self, group: Group) -> None:
        self._deactivate(group)
        self._groups.pop(group.key, None)
        same_demand = self._blocked.get(group.key.demand)
        if same_demand is not None:
            same_demand.pop(group.key, None)
            if not same_demand:
                del self._blocked[group.key.demand]


def _entry_order(entry: tuple[Any, ...]) -> tuple[OrderKey, int]:
    return entry[0], entry[1]


__all__ = ('Group', 'GroupKey', 'JobQueue')
