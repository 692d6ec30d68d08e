"""Queues of the configuration in effect."""

from dataclasses import dataclass, field

from radishlift.core.ids import ConfigVersion
from radishlift.steps.ids import QueueName
from radishlift.steps.spec import QueueTerms


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue, and the host and path under which callers reach it."""

    terms: QueueTerms
    host: str
    path_prefix: str


@dataclass(slots=True)
class QueueConfig:
    """All queues of a configuration version."""

    version: ConfigVersion
    queues: tuple[Queue, ...]
    max_body_bytes: int
    _by_host: dict[str, list[Queue]] = field(default_factory=dict)
    _by_name: dict[QueueName, Queue] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for queue in self.queues:
            self._by_name[queue.terms.queue] = queue
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def find_by_name(self, name: QueueName) -> Queue | None:
        """Returns a queue by name, or None."""
        return self._by_name.get(name)


def _prefix_length(queue: Queue) -> int:
    return len(queue.path_prefix)


__all__ = ('Queue', 'QueueConfig')
