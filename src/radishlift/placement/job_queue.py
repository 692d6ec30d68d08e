"""Queue of jobs, grouped by rank, department, team and demand.

Placement treats the jobs of a group alike: if one does not fit, the whole
group is blocked until enough capacity or quota may be free.
"""

import heapq
from collections.abc import Iterator

from radishlift.core.ids import JobId, TeamName
from radishlift.placement.job_table import JobTable
from radishlift.placement.jobs import Resources
from radishlift.placement.queue_groups import (
    ActiveGroups,
    BlockedGroups,
    Group,
    GroupKey,
    OrderKey,
)


class JobQueue:
    """Groups of queued jobs.

    `active` has the groups whose first job may be startable, `blocked` those
    that wait for capacity or quota. A job that is no longer queued stays in
    the heap of its group until it is the first there. `ageing` is a heap of
    the times at which the waiting time of each job exceeds its limit.
    """

    def __init__(self, jobs: JobTable) -> None:
        self._jobs = jobs
        self._groups: dict[GroupKey, Group] = {}
        self.active = ActiveGroups()
        self.blocked = BlockedGroups()
        self.ageing: list[tuple[int, JobId]] = []
        self._positions: dict[int, tuple[GroupKey, int, JobId]] = {}
        self._sequence = 0

    def add(self, job_row: int, key: GroupKey, order: OrderKey) -> None:
        """Adds a job, or moves it to another group."""
        job_id = self._jobs.spec[job_row].job_id
        known = self._positions.get(job_row)
        if known is not None and known[2] == job_id and known[0] == key:
            return
        self._sequence += 1
        self._positions[job_row] = (key, self._sequence, job_id)
        group = self._groups.get(key)
        if group is None:
            group = Group(key)
            self._groups[key] = group
        heapq.heappush(group.heap, (order, self._sequence, job_row))
        if not group.blocked_by:
            self.active.update(group)

    def find_group(self, job_row: int) -> Group | None:
        """Returns the group in which a job waits, or None."""
        known = self._positions.get(job_row)
        if known is None or known[2] != self._jobs.spec[job_row].job_id:
            return None
        return self._groups.get(known[0])

    def head(self, group: Group) -> int | None:
        """Returns the row of the first job of a group, or None.

        Removes jobs that are no longer queued, and the group if it is empty.
        """
        while group.heap:
            _, sequence, job_row = group.heap[0]
            if self._is_member(job_row, sequence):
                if self._jobs.ready_count(job_row):
                    return job_row
                del self._positions[job_row]
            heapq.heappop(group.heap)
        self.active.remove(group)
        if group.blocked_by:
            self.blocked.discard(group)
        self._groups.pop(group.key, None)
        return None

    def refresh(self, group: Group) -> None:
        """Moves an active group to the position of its first job."""
        if self.head(group) is not None and not group.blocked_by:
            self.active.update(group)

    def block(self, group: Group, reason: str) -> None:
        """Blocks a group until capacity for its demand becomes free."""
        self.active.remove(group)
        group.blocked_by = reason
        self.blocked.add_for_capacity(group)

    def block_for_quota(self, group: Group, reason: str) -> None:
        """Blocks a group until its team has free quota."""
        self.active.remove(group)
        group.blocked_by = reason
        self.blocked.add_for_quota(group)

    def is_blocked(self, group: Group) -> bool:
        """Returns whether a group is blocked and still has queued jobs."""
        return bool(group.blocked_by) and self.head(group) is not None

    def unblock_fitting(self, free: Resources) -> None:
        """Unblocks the groups whose demand fits into a free amount."""
        self._unblock(self.blocked.pop_fitting(free))

    def unblock_team(self, team: TeamName) -> None:
        """Unblocks the groups that wait for the quota of a team."""
        self._unblock(self.blocked.pop_team(team))

    def unblock_all(self) -> None:
        """Unblocks all groups, after a change of workers, rules or quotas."""
        self._unblock(self.blocked.pop_all())

    def waiting_jobs(self, group: Group) -> Iterator[int]:
        """Yields the job rows of a group in no particular order."""
        for _, sequence, job_row in group.heap:
            if self._is_member(job_row, sequence):
                yield job_row

    def groups(self) -> list[Group]:
        """Lists all groups."""
        return list(self._groups.values())

    def _is_member(self, job_row: int, sequence: int) -> bool:
        known = self._positions.get(job_row)
        if known is None or known[1] != sequence:
            return False
        return self._jobs.spec[job_row].job_id == known[2]

    def _unblock(self, groups: list[Group]) -> None:
        for group in groups:
            group.blocked_by = ''
            self.refresh(group)


__all__ = ('JobQueue',)
