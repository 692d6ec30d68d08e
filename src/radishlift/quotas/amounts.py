"""Amounts per dimension of a quota, in the order of `DIMENSIONS`.

They are plain triples because a message carries several for each team.
"""

from typing import Final

from radishlift.config.document import Team
from radishlift.placement.jobs import Resources

Amounts = tuple[int, int, int]
"""Processors in milli, memory in MB, accelerators."""

NO_AMOUNTS: Final[Amounts] = (0, 0, 0)
DIMENSIONS: Final = ('cpu_milli', 'memory_mb', 'accelerators_count')


def quota_amounts(team: Team) -> Amounts:
    """Returns the quota of a team; 0 means no limit."""
    return (team.cpu_milli, team.memory_mb, team.accelerators_count)


def demand_amounts(demand: Resources) -> Amounts:
    """Returns a demand as a triple."""
    return (demand.cpu_milli, demand.memory_mb, demand.accelerators_count)


def limited_mask(quota: Amounts) -> int:
    """Returns a bit for each dimension with a limit."""
    return sum(1 << dimension for dimension in range(3) if quota[dimension])


def add(left: Amounts, right: Amounts) -> Amounts:
    """Adds amounts."""
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2])


def scale(amounts: Amounts, count: int) -> Amounts:
    """Multiplies amounts."""
    return (amounts[0] * count, amounts[1] * count, amounts[2] * count)


def elementwise_max(left: Amounts, right: Amounts) -> Amounts:
    """Returns the larger amount in each dimension."""
    return (
        max(left[0], right[0]),
        max(left[1], right[1]),
        max(left[2], right[2]),
    )


def elementwise_min(left: Amounts, right: Amounts) -> Amounts:
    """Returns the smaller amount in each dimension."""
    return (
        min(left[0], right[0]),
        min(left[1], right[1]),
        min(left[2], right[2]),
    )


__all__ = (
    'DIMENSIONS',
    'NO_AMOUNTS',
    'Amounts',
    'add',
    'demand_amounts',
    'elementwise_max',
    'elementwise_min',
    'limited_mask',
    'quota_amounts',
    'scale',
)
