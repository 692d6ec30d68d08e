"""Arithmetic on amounts of resources."""

from radishlift.placement.jobs import Resources


def minus(left: Resources, right: Resources) -> Resources:
    """Subtracts amounts; the difference may be negative."""
    return Resources(
        left.cpu_milli - right.cpu_milli,
        left.memory_mb - right.memory_mb,
        left.accelerators_count - right.accelerators_count,
    )


def plus(left: Resources, right: Resources) -> Resources:
    """Adds amounts."""
    return Resources(
        left.cpu_milli + right.cpu_milli,
        left.memory_mb + right.memory_mb,
        left.accelerators_count + right.accelerators_count,
    )


def times(amount: Resources, count: int) -> Resources:
    """Multiplies amounts."""
    return Resources(
        amount.cpu_milli * count,
        amount.memory_mb * count,
        amount.accelerators_count * count,
    )


def is_within(demand: Resources, capacity: Resources) -> bool:
    """Returns whether a demand fits into a capacity in all dimensions."""
    return (
        demand.cpu_milli <= capacity.cpu_milli
        and demand.memory_mb <= capacity.memory_mb
        and demand.accelerators_count <= capacity.accelerators_count
    )


def count_fitting(demand: Resources, free: Resources, limit: int) -> int:
    """Counts how many times a demand fits, up to a limit."""
    pairs = (
        (demand.cpu_milli, free.cpu_milli),
        (demand.memory_mb, free.memory_mb),
        (demand.accelerators_count, free.accelerators_count),
    )
    if any(amount < 0 for _, amount in pairs):
        return 0
    counts = [amount // wanted for wanted, amount in pairs if wanted]
    return min([limit, *counts])


__all__ = ('count_fitting', 'is_within', 'minus', 'plus', 'times')
