"""Registry of benchmarks and the figures that they return."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from radishlift.core.registry import Registry


@unique
class BoundKind(Enum):
    """Whether a bound is an upper or a lower limit."""

    at_most = 'at_most'
    at_least = 'at_least'


@dataclass(frozen=True, slots=True)
class Bound:
    """A bound from a stated target, never from a measured figure."""

    kind: BoundKind
    limit: float


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured figure; its name ends in its unit."""

    name: str
    number: float
    bound: Bound | None = None

    @property
    def is_within_bound(self) -> bool:
        """Returns whether the figure is within its bound; True without one."""
        if self.bound is None:
            return True
        if self.bound.kind is BoundKind.at_most:
            return self.number <= self.bound.limit
        return self.number >= self.bound.limit


def at_most(limit: float) -> Bound:
    """Returns an upper bound."""
    return Bound(BoundKind.at_most, limit)


def at_least(limit: float) -> Bound:
    """Returns a lower bound."""
    return Bound(BoundKind.at_least, limit)


BENCHMARKS: Final[Registry[Callable[[], list[Figure]]]] = Registry('benchmark')

__all__ = ('BENCHMARKS', 'Bound', 'BoundKind', 'Figure', 'at_least', 'at_most')
