"""Host knowledge for tests, from a host list that never becomes outdated."""

import sys

from radishlift.core.clock import ManualClock
from radishlift.services.host_knowledge import HostKnowledge


def unexpiring_host_knowledge() -> HostKnowledge:
    """Returns host knowledge that permits new work at all hosts.

    Its clock does not advance, so the host list stays current.
    """
    knowledge = HostKnowledge(ManualClock(), 0)
    knowledge.update((), 0, listed_at_ms=sys.maxsize)
    return knowledge


__all__ = ('unexpiring_host_knowledge',)
