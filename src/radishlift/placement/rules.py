"""Rules of the operators' document: policy, share and quota."""

from typing import Final

from radishlift.config.document import Department
from radishlift.core.ids import DepartmentName, TeamName
from radishlift.placement.jobs import JobSpec, Resources
from radishlift.placement.policies import POLICIES, Policy
from radishlift.placement.working import Working

DEFAULT_DEPARTMENT: Final = Department()
DEFAULT_POLICY: Final = 'waiting_first'
DIMENSIONS: Final = ('cpu_milli', 'memory_mb', 'accelerators_count')


def department_of(working: Working, name: DepartmentName) -> Department:
    """Returns a department; one not in the document has the defaults."""
    return working.rules.document.departments.get(name, DEFAULT_DEPARTMENT)


def policy_of(working: Working, name: DepartmentName) -> Policy:
    """Returns the policy of a department."""
    policy = POLICIES.get(department_of(working, name).policy)
    if policy is None:
        policy = POLICIES.get(DEFAULT_POLICY)
    assert policy is not None
    return policy


def share_of(working: Working, name: DepartmentName) -> float:
    """Returns the dominant share of a department, divided by its weight."""
    use = working.tables.department_use.get(name)
    if use is None:
        return 0
    total = working.fleet.total
    dominant = max(
        use[0] / max(1, total.cpu_milli),
        use[1] / max(1, total.memory_mb),
        use[2] / max(1, total.accelerators_count),
    )
    return dominant / department_of(working, name).share_weight


def quota_of(working: Working, name: TeamName) -> tuple[float, float, float]:
    """Returns the part of a team's quota for this partition; 0 is no limit.

    Quotas hold for the cell. `quota_ratio` is this partition's part of its
    capacity, so that partitions need no agreement for each start.
    """
    team = working.rules.document.teams.get(name)
    if team is None:
        return (0, 0, 0)
    ratio = working.rules.quota_ratio
    return (
        team.cpu_milli * ratio,
        team.memory_mb * ratio,
        team.accelerators_count * ratio,
    )


def over_quota(
    working: Working,
    team: TeamName,
    demand: Resources,
    task_count: int,
) -> str:
    """Names the dimension of a team's quota that tasks would exceed."""
    quota = quota_of(working, team)
    if not any(quota):
        return ''
    use = working.tables.team_use.get(team, [0, 0, 0])
    demands = (
        demand.cpu_milli,
        demand.memory_mb,
        demand.accelerators_count,
    )
    for name, limit, used, wanted in zip(
        DIMENSIONS,
        quota,
        use,
        demands,
        strict=True,
    ):
        if limit and used + wanted * task_count > limit:
            return name
    return ''


def never_within_quota(working: Working, spec: JobSpec) -> str:
    """Names the dimension in which even the team's whole quota is too small.

    The whole quota of the cell counts, as the job can be handed off.
    """
    team = working.rules.document.teams.get(spec.team)
    if team is None:
        return ''
    count = spec.task_count if spec.kind.value == 'gang' else 1
    for name in DIMENSIONS:
        limit = getattr(team, name)
        if limit and getattr(spec.demand, name) * count > limit:
            return name
    return ''


__all__ = (
    'department_of',
    'never_within_quota',
    'over_quota',
    'policy_of',
    'quota_of',
    'share_of',
)
