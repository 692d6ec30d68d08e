"""Divides a large fleet into groups that exchange heartbeats."""

from collections.abc import Iterable
from hashlib import blake2b

from radishlift.core.ids import DaemonId


def heartbeat_group(
    daemon_id: DaemonId,
    daemon_ids: Iterable[DaemonId],
    limit: int,
) -> tuple[DaemonId, ...]:
    """Returns the group of a daemon, which has at most `limit` members.

    All daemons with the same view of the fleet compute the same groups. Their
    sizes differ by at most one.
    """
    ordered = sorted({daemon_id, *daemon_ids}, key=_hash)
    groups_count = -(-len(ordered) // limit)
    index = ordered.index(daemon_id) * groups_count // len(ordered)
    return tuple(
        other
        for position, other in enumerate(ordered)
        if position * groups_count // len(ordered) == index
    )


def _hash(daemon_id: DaemonId) -> bytes:
    return blake2b(daemon_id.encode(), digest_size=8).digest()


__all__ = ('heartbeat_group',)
