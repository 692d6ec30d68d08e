"""Registry of the systems that a tick runs in order."""

from collections.abc import Callable
from typing import Final, Protocol

from radishlift.core.registry import Registry
from radishlift.placement.engine_context import EngineContext


class PhaseBudget(Protocol):
    """The time of a tick."""

    now_ms: int

    def is_exhausted(self) -> bool:
        """Tells whether the system must stop and resume next tick."""


Phase = Callable[[EngineContext, PhaseBudget], bool]
"""Works on the tables; returns whether it is done for this tick."""

PHASES: Final[Registry[Phase]] = Registry('placement system')

__all__ = ('PHASES', 'Phase', 'PhaseBudget')
