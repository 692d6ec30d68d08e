"""Policies, department shares and quotas of the configuration document."""

from dataclasses import dataclass
from typing import Final

from radishlift.config.document import Department
from radishlift.core.ids import DepartmentName, TeamName
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.jobs import JobSpec, Resources
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.policies import POLICIES, Policy

DEFAULT_DEPARTMENT: Final = Department()
DEFAULT_POLICY: Final = 'waiting_first'
_NOTHING: Final = (0, 0, 0)
DIMENSIONS: Final = ('cpu_milli', 'memory_mb', 'accelerators_count')


def get_department(context: EngineContext, name: DepartmentName) -> Department:
    """Returns a department, with defaults if it is not in the document."""
    return context.rules.document.departments.get(name, DEFAULT_DEPARTMENT)


def get_policy(context: EngineContext, name: DepartmentName) -> Policy:
    """Returns the policy of a department."""
    departments = context.rules.document.departments
    policy = POLICIES.get(departments.get(name, DEFAULT_DEPARTMENT).policy)
    if policy is None:
        policy = POLICIES.get(DEFAULT_POLICY)
    assert policy is not None
    return policy


def dominant_share(context: EngineContext, name: DepartmentName) -> float:
    """Returns the dominant resource share of a department over its weight."""
    use = context.tables.department_usage.get(name)
    if use is None:
        return 0
    total = context.fleet.total
    dominant = max(
        use[0] / max(1, total.cpu_milli),
        use[1] / max(1, total.memory_mb),
        use[2] / max(1, total.accelerators_count),
    )
    return dominant / get_department(context, name).share_weight


@dataclass(frozen=True, slots=True)
class QuotaShortage:
    """The dimension in which a team has too little quota left here.

    `used` and `share` are amounts of this partition, `quota` is that of the
    cell. All are 0 while the configuration document is unknown.
    """

    team: TeamName
    dimension: str
    used: int
    share: int
    quota: int

    @property
    def detail(self) -> str:
        """Returns a description of the shortage."""
        if not self.quota:
            return 'the quotas are not known yet'
        return (
            f'the quota of team {self.team} has too little {self.dimension} '
            f'left: {self.used} used of a share of {self.share} in this '
            f'partition, quota of the cell {self.quota}'
        )


def team_usage_with_holds(
    tables: PartitionTables, name: TeamName
) -> tuple[int, int, int]:
    """Returns what a team uses here, including what is held for its gangs."""
    use = tables.team_usage.get(name, (0, 0, 0))
    total = [use[0], use[1], use[2]]
    for hold in tables.holds.values():
        if hold.spec.team == name:
            count = len(hold.members)
            total[0] += hold.reserved.cpu_milli * count
            total[1] += hold.reserved.memory_mb * count
            total[2] += hold.reserved.accelerators_count * count
    return (total[0], total[1], total[2])


def quota_shortage(
    context: EngineContext,
    name: TeamName,
    demand: Resources,
    task_count: int,
) -> QuotaShortage | None:
    """Returns the dimension in which tasks would exceed the team's share.

    Returns None if the tasks may start. A start within the share needs no
    agreement with other partitions. With shares in use, no task may start
    until the configuration document is known.
    """
    rules = context.rules
    team = rules.document.teams.get(name)
    if rules.shares is not None and not rules.document.version:
        return QuotaShortage(name, '', 0, 0, 0)
    if team is None:
        return None
    quota = (team.cpu_milli, team.memory_mb, team.accelerators_count)
    if not any(quota):
        return None
    share = quota if rules.shares is None else rules.shares.get(name, _NOTHING)
    used = team_usage_with_holds(context.tables, name)
    wanted = (demand.cpu_milli, demand.memory_mb, demand.accelerators_count)
    for place, dimension in enumerate(DIMENSIONS):
        after = used[place] + wanted[place] * task_count
        if quota[place] and wanted[place] and after > share[place]:
            return QuotaShortage(
                name,
                dimension,
                used[place],
                share[place],
                quota[place],
            )
    return None


def dimension_over_quota(context: EngineContext, spec: JobSpec) -> str:
    """Returns the dimension in which the team's quota is too small, or ''.

    The job is compared with the quota of the whole cell, because it can be
    handed off to another partition.
    """
    team = context.rules.document.teams.get(spec.team)
    if team is None:
        return ''
    count = spec.task_count if spec.kind.value == 'gang' else 1
    for name in DIMENSIONS:
        limit = getattr(team, name)
        if limit and getattr(spec.demand, name) * count > limit:
            return name
    return ''


__all__ = (
    'QuotaShortage',
    'get_department',
    'dimension_over_quota',
    'get_policy',
    'quota_shortage',
    'dominant_share',
    'team_usage_with_holds',
)
