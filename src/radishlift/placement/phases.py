"""Registry of the phases that a tick runs in order."""

from collections.abc import Callable
from typing import Final, Protocol

from radishlift.core.registry import Registry
from radishlift.placement.engine_context import EngineContext


class PhaseBudget(Protocol):
    """The time of the tick and the limit on the running phase."""

    now_ms: int

    def is_exhausted(self) -> bool:
        """Returns whether the phase must stop and resume in the next tick."""


Phase = Callable[[EngineContext, PhaseBudget], bool]
"""Updates the tables; returns whether its work for this tick is done."""

PHASES: Final[Registry[Phase]] = Registry('placement phase')

__all__ = ('PHASES', 'Phase', 'PhaseBudget')
