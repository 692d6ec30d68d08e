"""Sends the same request to several daemons."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from radishlift.core.ids import DaemonId
from radishlift.wire.network import PeerNetwork

Reply = TypeVar('Reply')


@dataclass(frozen=True, slots=True)
class PeerReplies(Generic[Reply]):
    """Replies by daemon, and the daemons without a reply in time."""

    by_peer: dict[DaemonId, Reply]
    missing: tuple[DaemonId, ...]


async def query_all(
    network: PeerNetwork,
    peers: Sequence[DaemonId],
    request: object,
    reply_type: type[Reply],
    timeout_ms: int,
) -> PeerReplies[Reply]:
    """Calls all peers concurrently and waits up to the timeout.

    A peer that fails or replies with another type counts as missing.
    """
    replies = await asyncio.gather(
        *(network.call(peer, request, timeout_ms) for peer in peers),
    )
    by_peer = {
        peer: reply
        for peer, reply in zip(peers, replies, strict=True)
        if isinstance(reply, reply_type)
    }
    missing = tuple(peer for peer in peers if peer not in by_peer)
    return PeerReplies(by_peer, missing)


__all__ = ('PeerReplies', 'query_all')
