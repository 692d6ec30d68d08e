"""Load on a fleet of request nodes, and counts of its outcomes."""

from statistics import quantiles
from typing import Any, Final

from benchmarks.request_fleet import NODES_COUNT, RequestFleet

HOT_NODES_COUNT: Final = 3


def offer_load(
    fleet: RequestFleet,
    load: float,
    seconds: float,
    skew: int = 1,
    **options: Any,
) -> list[dict[str, Any]]:
    """Offers a load and returns the replies of the nodes.

    `load` is a multiple of the capacity. The first `HOT_NODES_COUNT` nodes get
    `skew` times the requests of each other node.
    """
    start_load(fleet, load, seconds, skew, **options)
    return fleet.read_replies()


def start_load(
    fleet: RequestFleet,
    load: float,
    seconds: float,
    skew: int = 1,
    **options: Any,
) -> None:
    """Starts a load; `RequestFleet.read_replies` waits for its end."""
    weights = [
        skew if index < HOT_NODES_COUNT else 1 for index in range(NODES_COUNT)
    ]
    unit = load * fleet.mix.capacity_per_s / sum(weights)
    fleet.send_commands(
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


def answered_count(replies: list[dict[str, Any]]) -> int:
    """Returns the answered requests of all nodes."""
    return sum(reply['ended'].get('answered', 0) for reply in replies)


def offered_count(replies: list[dict[str, Any]]) -> int:
    """Returns the offered requests of all nodes."""
    return sum(reply['offered'] for reply in replies)


def p99(numbers: list[float]) -> float:
    """Returns the 99th percentile."""
    return quantiles(numbers, n=100)[-1]


__all__ = ('answered_count', 'start_load', 'offer_load', 'offered_count', 'p99')
