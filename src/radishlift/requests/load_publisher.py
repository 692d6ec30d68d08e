"""Publishes the loads of this daemon to its peers when they change."""

from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId
from radishlift.requests.loads import ServiceLoads
from radishlift.wire.network import PeerNetwork

# Each try to connect to an unreachable peer delays the sends to all other peers
# by a second.
_RETRY_MS: Final = 2000


class LoadPublisher:
    """Sends each peer the loads that were not sent on its current connection.

    A connection loses no message unless it ends; then the loads are sent again
    on the next one. Nothing is sent while the loads do not change.
    """

    def __init__(self, network: PeerNetwork, clock: Clock) -> None:
        self._network = network
        self._clock = clock
        self._sent: dict[DaemonId, tuple[int, ServiceLoads]] = {}
        self._failed_at_ms: dict[DaemonId, int] = {}

    async def publish(self, loads: ServiceLoads) -> None:
        """Sends the loads to the peers that do not have them."""
        peers = self._network.peers
        for peer in peers:
            number = self._network.stream_number(peer)
            if self._sent.get(peer) != (number, loads) and self._is_due(peer):
                await self._send(peer, loads)
        for removed in self._sent.keys() - peers:
            self._sent.pop(removed)

    def _is_due(self, peer: DaemonId) -> bool:
        failed_at_ms = self._failed_at_ms.get(peer)
        if failed_at_ms is None or self._network.stream_number(peer):
            return True
        return self._clock.monotonic_ms() - failed_at_ms >= _RETRY_MS

    async def _send(self, peer: DaemonId, loads: ServiceLoads) -> None:
        failure = await self._network.send(peer, loads)
        if isinstance(failure, Failure):
            self._failed_at_ms[peer] = self._clock.monotonic_ms()
            return
        self._failed_at_ms.pop(peer, None)
        self._sent[peer] = (self._network.stream_number(peer), loads)


__all__ = ('LoadPublisher',)
