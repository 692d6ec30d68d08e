"""Queues of the configuration in effect."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from radishlift.access.keys import KeyHash, Workspace, index_keys
from radishlift.core.ids import ConfigVersion, WorkspaceName
from radishlift.steps.ids import QueueName
from radishlift.steps.spec import QueueTerms
from radishlift.steps.workspaces import WorkspaceTerms


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue, and the host and path under which callers reach it.

    Callers of a queue that is not public need a key of a workspace, if the
    configuration has any.
    """

    terms: QueueTerms
    host: str
    path_prefix: str
    is_public: bool = False


@dataclass(slots=True)
class QueueConfig:
    """All queues and workspaces of a configuration version."""

    version: ConfigVersion
    queues: tuple[Queue, ...]
    max_body_bytes: int
    workspaces: tuple[Workspace, ...] = ()
    _by_host: dict[str, '_HostQueues'] = field(default_factory=dict)
    _by_name: dict[QueueName, Queue] = field(default_factory=dict)
    _by_key: dict[KeyHash, WorkspaceName] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for queue in self.queues:
            self._by_name[queue.terms.queue] = queue
            self._by_host.setdefault(queue.host, _HostQueues()).add(queue)
        self._by_key.update(index_keys(self.workspaces))

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path, or None."""
        queues = self._by_host.get(host)
        return None if queues is None else queues.find(path)

    def find_workspace(self, key_hash: KeyHash) -> WorkspaceName | None:
        """Returns the workspace of a key, or None if no workspace has it."""
        return self._by_key.get(key_hash)

    def workspace_terms(self) -> Mapping[WorkspaceName, WorkspaceTerms]:
        """Returns the terms of all workspaces."""
        return MappingProxyType(
            {
                workspace.terms.name: workspace.terms
                for workspace in self.workspaces
            }
        )

    def find_by_name(self, name: QueueName) -> Queue | None:
        """Returns a queue by name, or None."""
        return self._by_name.get(name)


class _HostQueues:
    """Queues of a host by prefix; few lengths of prefixes differ."""

    def __init__(self) -> None:
        self._by_prefix: dict[str, Queue] = {}
        self._lengths: list[int] = []

    def add(self, queue: Queue) -> None:
        """Adds a queue, unless another one has its prefix."""
        prefix = queue.path_prefix
        self._by_prefix.setdefault(prefix, queue)
        if len(prefix) not in self._lengths:
            self._lengths.append(len(prefix))
            self._lengths.sort(reverse=True)

    def find(self, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path, or None."""
        for length in self._lengths:
            queue = self._by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None


__all__ = ('Queue', 'QueueConfig')
