"""Distribution of the slots of a service by demand."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import DaemonId

_HEADROOM_RATIO: Final = 1.25
_DECAY_RATIO: Final = 0.7


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """The slots that a daemon holds and those that its demand needs."""

    held_count: int
    wanted_count: int


def smooth_demand(previous: float, sampled: float) -> float:
    """Returns a demand that rises at once and falls over several samples.

    The fall is slow so that a short pause in arrivals moves no slots.
    """
    decayed = _DECAY_RATIO * previous + (1 - _DECAY_RATIO) * sampled
    return max(sampled, decayed)


def wanted_slots_count(demand: float) -> int:
    """Returns the slots for a demand with headroom; at least one slot."""
    return math.ceil(demand * _HEADROOM_RATIO) + 1


def fair_shares(
    demands: Mapping[DaemonId, SlotDemand],
    pool_count: int,
) -> dict[DaemonId, int]:
    """Divides a pool of slots by demand, and spare slots equally.

    All daemons with the same demands compute the same shares.
    """
    if not demands:
        return {}
    wanted_sum = sum(demand.wanted_count for demand in demands.values())
    spare = max(0, pool_count - wanted_sum) / len(demands)
    scale = min(1, pool_count / wanted_sum)
    shares = {
        daemon_id: demand.wanted_count * scale + spare
        for daemon_id, demand in demands.items()
    }
    counts = {daemon_id: int(share) for daemon_id, share in shares.items()}
    rest = pool_count - sum(counts.values())
    for daemon_id in sorted(demands)[:rest]:
        counts[daemon_id] += 1
    return counts


def plan_change(
    own: DaemonId,
    demands: Mapping[DaemonId, SlotDemand],
    pool_count: int,
    threshold_ratio: float,
    threshold_count: int,
) -> int:
    """Returns how many slots to acquire; negative for slots to return.

    Free slots are acquired up to the fair share. Slots are returned only if
    the surplus reaches the threshold and other daemons need them, so that
    small differences in demand cause no writes.
    """
    shares = fair_shares(demands, pool_count)
    held_sum = sum(demand.held_count for demand in demands.values())
    free_count = max(0, pool_count - held_sum)
    missing_count = shares[own] - demands[own].held_count
    if missing_count > 0:
        return min(missing_count, free_count)
    min_surplus_count = max(threshold_count, threshold_ratio * shares[own])
    if -missing_count < min_surplus_count:
        return 0
    missing_elsewhere_count = sum(
        max(0, shares[daemon_id] - demand.held_count)
        for daemon_id, demand in demands.items()
    )
    return -min(-missing_count, max(0, missing_elsewhere_count - free_count))


__all__ = (
    'SlotDemand',
    'fair_shares',
    'plan_change',
    'smooth_demand',
    'wanted_slots_count',
)
