"""Keys with which callers prove that they belong to a workspace."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Final, NewType

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import WorkspaceName
from radishlift.steps.workspaces import WorkspaceTerms

MAX_KEY_BYTES: Final = 4096
_DIGEST_BYTES: Final = 16

KeyHash = NewType('KeyHash', bytes)
"""Hash of a caller's key; the key itself is neither kept nor logged."""

KeyDigest = NewType('KeyDigest', str)
"""Start of the hash of a key, in hexadecimal digits; empty without a key."""

NO_DIGEST: Final = KeyDigest('')


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and the hashes of its keys."""

    terms: WorkspaceTerms
    key_hashes: frozenset[KeyHash] = field(default=frozenset(), repr=False)


def hash_key(key: str) -> KeyHash:
    """Returns the hash by which a key is looked up."""
    # Headers contain lone surrogates for bytes that are not UTF-8.
    return KeyHash(sha256(key.encode(errors='surrogateescape')).digest())


def digest_key(key_hash: KeyHash) -> KeyDigest:
    """Returns the digest with which a job names the key of its caller."""
    return KeyDigest(key_hash[:_DIGEST_BYTES].hex())


def read_key(authorizations: Sequence[str]) -> KeyHash | Failure:
    """Reads the key of the `Authorization` headers of a request (RFC 6750).

    Fails with `unauthenticated` unless there is one header, of the scheme
    `Bearer`, with a key of at most `MAX_KEY_BYTES`. Failures never contain
    the header.
    """
    if len(authorizations) != 1:
        count = len(authorizations)
        return _refuse(f'{count} Authorization headers, expected 1')
    scheme, _, key = authorizations[0].partition(' ')
    if scheme.lower() != 'bearer':
        return _refuse('scheme is not Bearer')
    key = key.strip(' ')
    if not key:
        return _refuse('empty key')
    if len(key) > MAX_KEY_BYTES:
        return _refuse('key is too long')
    return hash_key(key)


def index_keys(
    workspaces: Iterable[Workspace],
) -> dict[KeyHash, WorkspaceName]:
    """Returns the workspace of each key.

    Raises ValueError if two workspaces have the same key or name.
    """
    names: set[WorkspaceName] = set()
    by_key: dict[KeyHash, WorkspaceName] = {}
    for workspace in workspaces:
        name = workspace.terms.name
        if name in names:
            raise ValueError(f'two workspaces are named {name}')
        names.add(name)
        for key_hash in workspace.key_hashes:
            other = by_key.setdefault(key_hash, name)
            if other != name:
                raise ValueError(f'{other} and {name} have the same key')
    return by_key


def _refuse(reason: str) -> Failure:
    return Failure(ErrorKind.unauthenticated, reason)


__all__ = (
    'MAX_KEY_BYTES',
    'NO_DIGEST',
    'KeyDigest',
    'KeyHash',
    'Workspace',
    'digest_key',
    'hash_key',
    'index_keys',
    'read_key',
)
