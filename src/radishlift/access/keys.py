"""Keys with which callers prove that they belong to a workspace."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256
from typing import NewType

from radishlift.core.ids import WorkspaceName
from radishlift.steps.workspaces import WorkspaceTerms

KeyHash = NewType('KeyHash', bytes)
"""Hash of a caller's key; the key itself is neither kept nor logged."""


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and the hashes of its keys."""

    terms: WorkspaceTerms
    key_hashes: frozenset[KeyHash] = frozenset()


def hash_key(key: str) -> KeyHash:
    """Returns the hash by which a key is looked up."""
    return KeyHash(sha256(key.encode()).digest())


def index_keys(
    workspaces: Iterable[Workspace],
) -> dict[KeyHash, WorkspaceName]:
    """Returns the workspace of each key."""
    return {
        key_hash: workspace.terms.name
        for workspace in workspaces
        for key_hash in workspace.key_hashes
    }


__all__ = ('KeyHash', 'Workspace', 'hash_key', 'index_keys')
