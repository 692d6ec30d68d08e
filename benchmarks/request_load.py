"""Offers load to a fleet of request nodes and counts the replies."""

from statistics import quantiles
from typing import Any, Final

from benchmarks.request_fleet import NODES_COUNT, RequestFleet

HOT_NODES_COUNT: Final = 3


def offer(
    fleet: RequestFleet,
    load: float,
    seconds: float,
    skew: int = 1,
    **options: Any,
) -> list[dict[str, Any]]:
    """Offers a multiple of capacity; hot nodes get `skew` times the rest."""
    begin_offer(fleet, load, seconds, skew, **options)
    return fleet.collect()


def begin_offer(
    fleet: RequestFleet,
    load: float,
    seconds: float,
    skew: int = 1,
    **options: Any,
) -> None:
    """Starts a load whose replies `RequestFleet.collect` waits for."""
    weights = [
        skew if index < HOT_NODES_COUNT else 1 for index in range(NODES_COUNT)
    ]
    unit = load * fleet.mix.capacity_per_s / sum(weights)
    fleet.tell_each(
        [
            {
                'do': 'load',
                'rate': unit * weight,
                'seconds': seconds,
                'mix': fleet.mix.parts,
                **options,
            }
            for weight in weights
        ]
    )


def answered(replies: list[dict[str, Any]]) -> int:
    """Counts the answered requests of all nodes."""
    return sum(reply['ended'].get('answered', 0) for reply in replies)


def offered(replies: list[dict[str, Any]]) -> int:
    """Counts the offered requests of all nodes."""
    return sum(reply['offered'] for reply in replies)


def p99(numbers: list[float]) -> float:
    """Returns the 99th percentile."""
    return quantiles(numbers, n=100)[-1]


__all__ = ('answered', 'begin_offer', 'offer', 'offered', 'p99')
