"""Shares of the slots of a service by demand; pure functions."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import DaemonId

_HEADROOM_RATIO: Final = 1.25
_DECAY_RATIO: Final = 0.7


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """What one daemon holds and how many slots its requests would fill."""

    held_count: int
    wanted_count: int


def smooth_demand(previous: float, sampled: float) -> float:
    """Follows a rise at once and a fall over several samples.

    A fall is smoothed so that a short pause in arrivals moves no slots.
    """
    decayed = _DECAY_RATIO * previous + (1 - _DECAY_RATIO) * sampled
    return max(sampled, decayed)


def wanted_slots(demand: float) -> int:
    """Adds headroom to a demand; at least one slot."""
    return math.ceil(demand * _HEADROOM_RATIO) + 1


def fair_targets(
    demands: Mapping[DaemonId, SlotDemand],
    pool_count: int,
) -> dict[DaemonId, int]:
    """Divides a pool of slots by demand; spare slots equally.

    All daemons that see the same demands compute the same targets.
    """
    if not demands:
        return {}
    wanted_sum = sum(each.wanted_count for each in demands.values())
    spare = max(0, pool_count - wanted_sum) / len(demands)
    scale = min(1, pool_count / wanted_sum)
    shares = {
        daemon_id: each.wanted_count * scale + spare
        for daemon_id, each in demands.items()
    }
    targets = {daemon_id: int(share) for daemon_id, share in shares.items()}
    rest = pool_count - sum(targets.values())
    for daemon_id in sorted(demands)[:rest]:
        targets[daemon_id] += 1
    return targets


def plan_move(
    own: DaemonId,
    demands: Mapping[DaemonId, SlotDemand],
    pool_count: int,
    threshold_ratio: float,
    threshold_count: int,
) -> int:
    """Decides how many slots to take, or to give up when negative.

    Unallotted slots are taken up to the target. Slots are given up only when
    the surplus passes the threshold and other daemons lack that many, so
    that small differences in demand cause no writes.
    """
    targets = fair_targets(demands, pool_count)
    held_sum = sum(each.held_count for each in demands.values())
    free_count = max(0, pool_count - held_sum)
    lacking = targets[own] - demands[own].held_count
    if lacking > 0:
        return min(lacking, free_count)
    threshold = max(threshold_count, threshold_ratio * targets[own])
    if -lacking < threshold:
        return 0
    lacked = sum(
        max(0, targets[daemon_id] - each.held_count)
        for daemon_id, each in demands.items()
    )
    return -min(-lacking, max(0, lacked - free_count))


__all__ = (
    'SlotDemand',
    'fair_targets',
    'plan_move',
    'smooth_demand',
    'wanted_slots',
)
