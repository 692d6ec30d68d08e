"""Load summaries in heartbeats, within a bounded size."""

from collections import deque
from collections.abc import Callable, Mapping, Sequence

from msgpack import packb

from radishlift.core.logs import log_event
from radishlift.core.registry import Registry

Summary = Sequence[float] | Mapping[str, float]
SummaryProvider = Callable[[], Summary]


class SummaryCollector:
    """Collects summaries from the registered providers.

    If they do not fit into one heartbeat, the next one starts with the first
    summary that was left out.
    """

    def __init__(self, max_bytes: int) -> None:
        self.providers: Registry[SummaryProvider] = Registry('load summary')
        self._max_bytes = max_bytes
        self._first_index = 0

    def collect(self) -> dict[str, Summary]:
        """Returns the summaries of the next heartbeat by name."""
        providers = deque(enumerate(self.providers))
        providers.rotate(-self._first_index)
        summaries: dict[str, Summary] = {}
        left_bytes = self._max_bytes
        for index, (name, provider) in providers:
            summary = provider()
            size_bytes = len(packb([name, summary]))
            if size_bytes > self._max_bytes:
                log_event('summary_too_large', name=name, bytes=size_bytes)
            elif size_bytes > left_bytes:
                self._first_index = index
                break
            else:
                left_bytes -= size_bytes
                summaries[name] = summary
        return summaries


__all__ = ('Summary', 'SummaryCollector', 'SummaryProvider')
