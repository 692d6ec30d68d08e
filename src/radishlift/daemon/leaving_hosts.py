"""What peers know of leaving hosts, for a daemon cut from the host list.

Such a daemon goes on with its last list. Without this exchange it would send
work to an executor that has left meanwhile for as long as the cut lasts.
"""

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.ids import Address, DaemonId
from radishlift.daemon.hosts import HostFeed
from radishlift.wire.messages import message
from radishlift.wire.network import PeerNetwork

_ASKED_COUNT: Final = 2
_MS_PER_S: Final = 1000


@message('get_leaving_hosts')
@dataclass(frozen=True, slots=True)
class GetLeavingHosts:
    """Asks for the leaving hosts of the host list."""


@message('leaving_hosts')
@dataclass(frozen=True, slots=True)
class LeavingHosts:
    """Addresses of leaving hosts, as the sender last read them."""

    addresses: tuple[Address, ...]


class LeavingExchange:
    """Asks peers for leaving hosts while the host list can't be read."""

    def __init__(
        self,
        feed: HostFeed,
        network: PeerNetwork,
        clock: Clock,
        random: Random,
    ) -> None:
        self._feed = feed
        self._clock = clock
        self._network = network
        self._random = random
        network.register(GetLeavingHosts, self._answer)

    async def run(self) -> None:
        """Asks twice in each interval of the host list until cancelled.

        The peer has read the list up to an interval ago, and work for a
        leaving host should stop within 2 s.
        """
        while True:
            await self.step()
            await asyncio.sleep(self._feed.interval_ms / 2 / _MS_PER_S)

    async def step(self) -> None:
        """Asks some peers if the last reading is outdated."""
        if not self._feed.is_overdue():
            return
        # What a peer read is no newer than the question: this process may be
        # paused before it takes the answer.
        asked_at_ms = self._clock.monotonic_ms()
        peers = self._network.peers
        asked = self._random.sample(peers, min(_ASKED_COUNT, len(peers)))
        timeout_ms = self._feed.interval_ms
        replies = await asyncio.gather(
            *(
                self._network.call(peer, GetLeavingHosts(), timeout_ms)
                for peer in asked
            ),
        )
        for reply in replies:
            if isinstance(reply, LeavingHosts):
                self._feed.note_leaving(reply.addresses, asked_at_ms)

    async def _answer(
        self,
        _sender: DaemonId,
        _asked: GetLeavingHosts,
    ) -> LeavingHosts:
        return LeavingHosts(self._feed.leaving())


__all__ = ('GetLeavingHosts', 'LeavingExchange', 'LeavingHosts')
