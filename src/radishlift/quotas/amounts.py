"""Resource amounts of quotas as triples in the order of `DIMENSIONS`.

Triples keep messages small, as a message has several amounts for each team.
"""

from typing import Final

from radishlift.config.document import Team
from radishlift.placement.jobs import Resources

Amounts = tuple[int, int, int]
"""Processors in thousandths of a core, memory in MB, accelerators."""

NO_AMOUNTS: Final[Amounts] = (0, 0, 0)
DIMENSIONS: Final = ('cpu_milli', 'memory_mb', 'accelerators_count')


def quota_amounts(team: Team) -> Amounts:
    """Returns the quota of a team; 0 means no limit in that dimension."""
    return (team.cpu_milli, team.memory_mb, team.accelerators_count)


def demand_amounts(demand: Resources) -> Amounts:
    """Converts a task's demand to a triple."""
    return (demand.cpu_milli, demand.memory_mb, demand.accelerators_count)


def limited_mask(quota: Amounts) -> int:
    """Returns a bit mask of the dimensions that have a limit."""
    return sum(1 << dimension for dimension in range(3) if quota[dimension])


def add(left: Amounts, right: Amounts) -> Amounts:
    """Returns the sum in each dimension."""
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2])


def scale(amounts: Amounts, count: int) -> Amounts:
    """Returns the amounts multiplied by a count."""
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
