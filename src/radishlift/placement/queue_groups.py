"""Groups of equal jobs, active and blocked."""

from bisect import bisect_left, insort
from collections.abc import Callable, Collection, Iterator
from itertools import islice
from typing import NamedTuple

from radishlift.core.ids import DepartmentName, TeamName
from radishlift.placement.amounts import is_within
from radishlift.placement.jobs import Resources

OrderKey = tuple[int, ...]
Entry = tuple[OrderKey, int, 'Group']


class GroupKey(NamedTuple):
    """What the jobs of a group have in common; rank 0 is placed first.

    `members_count` is that of gangs: one that fits nowhere must not block
    smaller ones.
    """

    rank: int
    department: DepartmentName
    team: TeamName
    demand: Resources
    is_gang: bool
    members_count: int = 0


class Group:
    """Jobs of equal demand, in queue order."""

    __slots__ = ('blocked_by', 'entry', 'heap', 'key')

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self.heap: list[tuple[OrderKey, int, int]] = []
        self.entry: Entry | None = None
        self.blocked_by = ''


class ActiveGroups:
    """Groups whose first job may be startable, by rank and department.

    The list of a department is sorted by the order key and the unique
    sequence number of the first job of each group.
    """

    def __init__(self) -> None:
        self._entries: dict[int, dict[DepartmentName, list[Entry]]] = {}

    def update(self, group: Group) -> None:
        """Adds a group, or moves it to the position of its first job."""
        order, sequence, _ = group.heap[0]
        if group.entry is not None:
            if group.entry[1] == sequence:
                return
            self.remove(group)
        departments = self._entries.setdefault(group.key.rank, {})
        entries = departments.setdefault(group.key.department, [])
        group.entry = (order, sequence, group)
        insort(entries, group.entry)

    def remove(self, group: Group) -> None:
        """Removes a group if it is active."""
        if group.entry is None:
            return
        departments = self._entries[group.key.rank]
        entries = departments[group.key.department]
        del entries[bisect_left(entries, group.entry)]
        group.entry = None
        if not entries:
            del departments[group.key.department]
        if not departments:
            del self._entries[group.key.rank]

    def first(
        self,
        dominant_share: Callable[[DepartmentName], float],
        closed: Collection[DepartmentName],
    ) -> Group | None:
        """Returns the group whose first job is placed next, or None.

        The lowest rank is placed first, and within it the department with the
        lowest dominant share. Departments in `closed` are skipped.
        """
        for rank in sorted(self._entries):
            departments = self._entries[rank]
            names = [name for name in departments if name not in closed]
            if names:
                name = names[0]
                if len(names) > 1:
                    name = min(names, key=dominant_share)
                return departments[name][0][-1]
        return None

    def alternatives(self, first: Group, limit: int) -> list[Group]:
        """Returns groups with other demands of the same rank and department.

        `first` is one of them; gangs are left out.
        """
        departments = self._entries[first.key.rank]
        found: dict[Resources, Group] = {}
        for entry in islice(departments[first.key.department], 4 * limit):
            group = entry[-1]
            if not group.key.is_gang:
                found.setdefault(group.key.demand, group)
            if len(found) == limit:
                break
        return list(found.values())


class BlockedGroups:
    """Groups that wait for capacity, by demand, or for quota, by team."""

    def __init__(self) -> None:
        self._by_demand: dict[Resources, dict[GroupKey, Group]] = {}
        self._by_team: dict[TeamName, dict[GroupKey, Group]] = {}

    def add_for_capacity(self, group: Group) -> None:
        """Adds a group that waits for free capacity."""
        groups = self._by_demand.setdefault(group.key.demand, {})
        groups[group.key] = group

    def add_for_quota(self, group: Group) -> None:
        """Adds a group that waits for free quota of its team."""
        self._by_team.setdefault(group.key.team, {})[group.key] = group

    def waiting_for_quota(self) -> Iterator[tuple[TeamName, Group]]:
        """Yields the groups that wait for quota, with their teams."""
        for team, groups in self._by_team.items():
            for group in groups.values():
                yield team, group

    def waits_for_quota(self, group: Group) -> bool:
        """Returns whether a group waits for the quota of its team."""
        return group.key in self._by_team.get(group.key.team, {})

    def pop_fitting(self, free: Resources) -> list[Group]:
        """Removes and returns the groups whose demand fits."""
        fitting = [
            demand for demand in self._by_demand if is_within(demand, free)
        ]
        popped: list[Group] = []
        for demand in fitting:
            popped.extend(self._by_demand.pop(demand).values())
        return popped

    def pop_team(self, team: TeamName) -> list[Group]:
        """Removes and returns the groups that wait for a team's quota."""
        groups = self._by_team.pop(team, None)
        return list(groups.values()) if groups else []

    def pop_all(self) -> list[Group]:
        """Removes and returns all groups."""
        popped: list[Group] = []
        for demand in list(self._by_demand):
            popped.extend(self._by_demand.pop(demand).values())
        for team in list(self._by_team):
            popped.extend(self.pop_team(team))
        return popped

    def discard(self, group: Group) -> None:
        """Removes a group if it is blocked."""
        self._by_demand.get(group.key.demand, {}).pop(group.key, None)
        self._by_team.get(group.key.team, {}).pop(group.key, None)


__all__ = ('ActiveGroups', 'BlockedGroups', 'Group', 'GroupKey', 'OrderKey')
