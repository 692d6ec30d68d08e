"""What waits for the quotas of teams."""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Final

from radishlift.core.ids import TeamName
from radishlift.placement.amounts import plus, times
from radishlift.placement.hand_offs import can_ever_start
from radishlift.placement.jobs import Resources
from radishlift.placement.queue_groups import Group
from radishlift.placement.rules import quota_shortage
from radishlift.placement.tables import NOTHING
from radishlift.placement.working import Working

COUNTED_JOBS_COUNT: Final = 64
"""Jobs of a group that are counted; more is asked for once these run."""
MAX_WANTED_COUNT: Final = 1_024
"""Tasks of a group that are counted. A share that is far larger than what
starts soon would only be returned."""


@dataclass(frozen=True, slots=True)
class QuotaDemand:
    """Demand of a team over its share.

    `unit` is that of the task or gang that goes first.
    """

    wanted: Resources
    unit: Resources


def quota_demands(working: Working) -> dict[TeamName, QuotaDemand]:
    """Sums the groups and refused parts that wait for a quota, by team."""
    demands = _group_demands(working)
    for refused in working.inputs.refused_parts.values():
        count = refused.tasks_count
        if quota_shortage(working, refused.team, refused.demand, count) is None:
            continue
        amount = times(refused.demand, count)
        known = demands.get(refused.team)
        wanted = amount if known is None else plus(known.wanted, amount)
        unit = amount if known is None else known.unit
        demands[refused.team] = QuotaDemand(wanted, unit)
    return demands


def _group_demands(working: Working) -> dict[TeamName, QuotaDemand]:
    firsts: dict[TeamName, Group] = {}
    wanted: dict[TeamName, Resources] = {}
    for team, group in list(working.queue.blocked.waiting_for_quota()):
        if not _may_start_here(working, group):
            continue
        first = firsts.setdefault(team, group)
        if group.key.rank < first.key.rank:
            firsts[team] = group
        amount = _amount(working, group)
        wanted[team] = plus(wanted.get(team, NOTHING), amount)
    return {
        team: QuotaDemand(wanted[team], _unit(working, first))
        for team, first in firsts.items()
    }


def _may_start_here(working: Working, group: Group) -> bool:
    """Tells whether a share of this partition would let the head start.

    A gang that is too large for the workers here starts in parts, each of
    which asks for its own share.
    """
    job_row = working.queue.head(group)
    if job_row is None:
        return False
    count = working.tables.jobs.ready_count(job_row)
    return not group.key.is_gang or can_ever_start(working, group, count)


def _amount(working: Working, group: Group) -> Resources:
    jobs = working.tables.jobs
    waiting = islice(working.queue.waiting_jobs(group), COUNTED_JOBS_COUNT)
    count = sum(jobs.ready_count(row) for row in waiting)
    if group.key.is_gang:
        return times(group.key.demand, count)
    return times(group.key.demand, min(count, MAX_WANTED_COUNT))


def _unit(working: Working, group: Group) -> Resources:
    job_row = working.queue.head(group)
    if job_row is None or not group.key.is_gang:
        return group.key.demand
    count = working.tables.jobs.ready_count(job_row)
    return times(group.key.demand, count)


class EngineQuotas:
    """The shares that limit the teams of one engine."""

    def __init__(self, working: Working) -> None:
        self._working = working

    def use_shares(
        self,
        shares: Mapping[TeamName, tuple[int, int, int]],
    ) -> None:
        """Limits teams with a quota to shares that the caller changes.

        Without this call the partition may use the whole quotas.
        """
        self._working.rules.shares = shares

    def wake_team(self, team: TeamName) -> None:
        """Tells that the share of a team has grown."""
        self._working.tables.shrunk_teams[team] = None

    def demands(self) -> dict[TeamName, QuotaDemand]:
        """Returns what waits for the quota of each team."""
        return quota_demands(self._working)


__all__ = ('EngineQuotas', 'QuotaDemand')
