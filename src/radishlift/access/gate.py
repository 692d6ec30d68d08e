"""Decides which callers may use a queue, and for which workspace."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from radishlift.access.freshness import ConfigFreshness
from radishlift.access.keys import (
    NO_DIGEST,
    KeyDigest,
    KeyHash,
    digest_key,
    read_key,
)
from radishlift.access.settings import AccessSettings
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import WorkspaceName
from radishlift.steps.workspaces import NO_WORKSPACE

FindWorkspace = Callable[[KeyHash], WorkspaceName | None]


@dataclass(frozen=True, slots=True)
class Caller:
    """The workspace that a key proves, and the hash of that key.

    A call without a key has neither. A queue may require none, in which case
    `refusal` is why a call without a sufficient key may not use the jobs of
    workspaces. Their callers still use these with their keys.
    """

    workspace: WorkspaceName = NO_WORKSPACE
    key_hash: KeyHash | None = field(default=None, repr=False)
    is_key_required: bool = True
    refusal: Failure | None = None

    @property
    def owner(self) -> WorkspaceName:
        """Returns the workspace of the jobs that the caller submits."""
        return self.workspace if self.is_key_required else NO_WORKSPACE

    @property
    def key_digest(self) -> KeyDigest:
        """Returns the digest of the caller's key."""
        return NO_DIGEST if self.key_hash is None else digest_key(self.key_hash)

    def may_use(
        self, owner: WorkspaceName, key_digest: KeyDigest = NO_DIGEST
    ) -> bool:
        """Returns whether the caller may see and cancel a workspace's job.

        Anyone who may use its queue may use a job without a workspace. Whoever
        submitted a job with a key may use it under any name of the workspace.
        """
        if owner in {NO_WORKSPACE, self.workspace}:
            return True
        return key_digest != NO_DIGEST and key_digest == self.key_digest


ANYONE = Caller()
"""Caller without a key."""


def identify_submitter(authorizations: Sequence[str]) -> Caller:
    """Returns the caller while the configuration has no workspaces.

    Its key is not judged, and only proves which jobs it has submitted.
    """
    key_hash = read_key(authorizations)
    if isinstance(key_hash, Failure):
        return Caller(is_key_required=False, refusal=key_hash)
    refusal = Failure(
        ErrorKind.unauthenticated, 'not the key of the submission'
    )
    return Caller(
        NO_WORKSPACE, key_hash, is_key_required=False, refusal=refusal
    )


class KeyGate:
    """Judges keys by the configuration in force and by its age.

    A key may have been taken away or added since the configuration was known
    to be the newest. A configuration that is too old neither proves that a key
    is valid nor that it is unknown.
    """

    def __init__(
        self, freshness: ConfigFreshness, settings: AccessSettings
    ) -> None:
        self._freshness = freshness
        self._settings = settings

    @property
    def can_admit(self) -> bool:
        """Returns whether the configuration is recent enough for any key."""
        return self._freshness.is_within(self._settings.max_known_age_ms)

    def admit(
        self, authorizations: Sequence[str], find_workspace: FindWorkspace
    ) -> Caller | Failure:
        """Returns the caller that the `Authorization` headers identify.

        Fails with `unauthenticated` or `configuration_outdated`.
        """
        key_hash = read_key(authorizations)
        if isinstance(key_hash, Failure):
            return key_hash
        return self._judge(key_hash, find_workspace)

    def admit_to_public(
        self, authorizations: Sequence[str], find_workspace: FindWorkspace
    ) -> Caller:
        """Returns the caller of a queue that requires no key."""
        caller = self.admit(authorizations, find_workspace)
        if isinstance(caller, Failure):
            return Caller(is_key_required=False, refusal=caller)
        return replace(caller, is_key_required=False)

    def check_again(
        self, caller: Caller, find_workspace: FindWorkspace
    ) -> Failure | None:
        """Judges an admitted caller again, after time has passed."""
        if caller.key_hash is None or not caller.is_key_required:
            return None
        judged = self._judge(caller.key_hash, find_workspace)
        return judged if isinstance(judged, Failure) else None

    def _judge(
        self, key_hash: KeyHash, find_workspace: FindWorkspace
    ) -> Caller | Failure:
        workspace = find_workspace(key_hash)
        if workspace is None:
            if self._freshness.is_within(self._settings.max_unknown_age_ms):
                return Failure(ErrorKind.unauthenticated, 'unknown key')
        elif self.can_admit:
            return Caller(workspace, key_hash)
        return Failure(
            ErrorKind.configuration_outdated,
            f'age of the configuration is {self._freshness.age_ms} ms',
        )


__all__ = ('ANYONE', 'Caller', 'KeyGate', 'identify_submitter')
