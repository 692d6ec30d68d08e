"""Demand that waits for the quotas of teams."""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Final

from radishlift.core.ids import TeamName
from radishlift.placement.amounts import plus, times
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.hand_offs import can_ever_start
from radishlift.placement.jobs import Resources
from radishlift.placement.queue_groups import Group
from radishlift.placement.rules import quota_shortage
from radishlift.placement.tables import NO_RESOURCES

COUNTED_JOBS_COUNT: Final = 64
"""Jobs of a group that are counted; more is requested once these run."""
MAX_WANTED_COUNT: Final = 1_024
"""Tasks of a group that are counted. A share far larger than the tasks that
start soon would only be returned."""


@dataclass(frozen=True, slots=True)
class QuotaDemand:
    """Demand of a team that waits for a larger share.

    `wanted` is the sum, `unit` the demand of the task or gang placed first.
    """

    wanted: Resources
    unit: Resources


def quota_demands(context: EngineContext) -> dict[TeamName, QuotaDemand]:
    """Sums the demand of groups and refused gang parts that wait for quota."""
    demands = _group_demands(context)
    for refused_part in context.inputs.refused_parts.values():
        count = refused_part.tasks_count
        if (
            quota_shortage(
                context, refused_part.team, refused_part.demand, count
            )
            is None
        ):
            continue
        amount = times(refused_part.demand, count)
        known = demands.get(refused_part.team)
        wanted = amount if known is None else plus(known.wanted, amount)
        unit = amount if known is None else known.unit
        demands[refused_part.team] = QuotaDemand(wanted, unit)
    return demands


def _group_demands(context: EngineContext) -> dict[TeamName, QuotaDemand]:
    firsts: dict[TeamName, Group] = {}
    wanted: dict[TeamName, Resources] = {}
    for team, group in list(context.queue.blocked.waiting_for_quota()):
        if not _may_start_here(context, group):
            continue
        first = firsts.setdefault(team, group)
        if group.key.rank < first.key.rank:
            firsts[team] = group
        amount = _group_demand(context, group)
        wanted[team] = plus(wanted.get(team, NO_RESOURCES), amount)
    return {
        team: QuotaDemand(wanted[team], _smallest_start(context, first))
        for team, first in firsts.items()
    }


def _may_start_here(context: EngineContext, group: Group) -> bool:
    """Returns whether a larger share here would let the first job start.

    A gang that is too large for the workers here starts in parts, each of
    which requests its own share.
    """
    job_row = context.queue.head(group)
    if job_row is None:
        return False
    count = context.tables.jobs.ready_count(job_row)
    return not group.key.is_gang or can_ever_start(context, group, count)


def _group_demand(context: EngineContext, group: Group) -> Resources:
    jobs = context.tables.jobs
    waiting = islice(context.queue.waiting_jobs(group), COUNTED_JOBS_COUNT)
    count = sum(jobs.ready_count(row) for row in waiting)
    if group.key.is_gang:
        return times(group.key.demand, count)
    return times(group.key.demand, min(count, MAX_WANTED_COUNT))


def _smallest_start(context: EngineContext, group: Group) -> Resources:
    job_row = context.queue.head(group)
    if job_row is None or not group.key.is_gang:
        return group.key.demand
    count = context.tables.jobs.ready_count(job_row)
    return times(group.key.demand, count)


class EngineQuotas:
    """Connects one engine to the shares that limit its teams."""

    def __init__(self, context: EngineContext) -> None:
        self._context = context

    def use_shares(
        self,
        shares: Mapping[TeamName, tuple[int, int, int]],
    ) -> None:
        """Limits teams with a quota to shares.

        The caller updates the mapping. Without this call the partition may
        use the whole quotas.
        """
        self._context.rules.shares = shares

    def unblock_team(self, team: TeamName) -> None:
        """Unblocks the groups of a team whose share has grown."""
        self._context.tables.teams_below_quota[team] = None

    def demands(self) -> dict[TeamName, QuotaDemand]:
        """Returns the demand that waits for quota, by team."""
        return quota_demands(self._context)


__all__ = ('EngineQuotas', 'QuotaDemand')
