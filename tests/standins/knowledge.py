"""Knowledge of a host list that is always recent enough."""

from radishlift.core.clock import ManualClock
from radishlift.services.host_knowledge import HostKnowledge


def lasting_knowledge() -> HostKnowledge:
    """Allows new work at all hosts."""
    knowledge = HostKnowledge(ManualClock(), 0)
    knowledge.update((), 0)
    return knowledge


__all__ = ('lasting_knowledge',)
