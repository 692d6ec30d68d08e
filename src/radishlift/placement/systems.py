"""Registry of the systems that a tick runs in order."""

from collections.abc import Callable
from typing import Final, Protocol

from radishlift.core.registry import Registry
from radishlift.placement.working import Working


class TickTime(Protocol):
    """The time of a tick."""

    now_ms: int

    def is_over(self) -> bool:
        """Tells whether the system must stop and resume next tick."""


System = Callable[[Working, TickTime], bool]
"""Works on the tables; returns whether it is done for this tick."""

SYSTEMS: Final[Registry[System]] = Registry('placement system')

__all__ = ('SYSTEMS', 'System', 'TickTime')
