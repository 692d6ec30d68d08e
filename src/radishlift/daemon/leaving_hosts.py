"""Exchange of leaving hosts between daemons.

A daemon that can't read the host list continues with its last list. Without
this exchange it would have to hold all new work until it can read the list
again.
"""

import asyncio
from dataclasses import dataclass
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.ids import Address, DaemonId
from radishlift.daemon.hosts import HostFeed
from radishlift.settings.daemon import PlatformSettings
from radishlift.wire.messages import message
from radishlift.wire.network import PeerNetwork

_MS_PER_S: Final = 1000
_MIN_INTERVAL_MS: Final = 50


@message('get_leaving_hosts')
@dataclass(frozen=True, slots=True)
class GetLeavingHosts:
    """Requests the leaving hosts of the host list."""


@message('leaving_hosts')
@dataclass(frozen=True, slots=True)
class LeavingHosts:
    """Addresses of leaving hosts, as the sender knows them.

    `age_ms` is the age of the sender's data; None before its first read.
    """

    addresses: tuple[Address, ...]
    age_ms: int | None = None


class LeavingHostsExchange:
    """Requests leaving hosts from peers while the host list can't be read."""

    def __init__(
        self,
        feed: HostFeed,
        network: PeerNetwork,
        clock: Clock,
        settings: PlatformSettings,
    ) -> None:
        self._feed = feed
        self._clock = clock
        self._network = network
        spare_ms = settings.host_list_limit_ms - settings.host_list_interval_ms
        # Two more rounds of requests fit before the list reaches its age limit.
        self._interval_ms = max(_MIN_INTERVAL_MS, spare_ms // 4)
        self._timeout_ms = max(_MIN_INTERVAL_MS, spare_ms)
        self._next_index = 0
        self._last_useful_peer: DaemonId | None = None
        self._requests: set[asyncio.Task[None]] = set()
        network.register(GetLeavingHosts, self._handle_request)

    async def run(self) -> None:
        """Sends requests while the own read is overdue, until cancelled."""
        while True:
            self.send_due_requests()
            wait_ms = max(self._interval_ms, self._feed.peer_request_due_in_ms)
            await asyncio.sleep(wait_ms / _MS_PER_S)

    def send_due_requests(self) -> None:
        """Sends requests to two peers if the last read is overdue.

        Returns without waiting for the replies, since an unreachable peer
        would delay the requests to others.
        """
        if self._feed.peer_request_due_in_ms:
            return
        self._feed.knowledge.log_if_outdated()
        for peer in self._next_peers():
            request = asyncio.create_task(self._request(peer))
            self._requests.add(request)
            request.add_done_callback(self._requests.discard)

    def _next_peers(self) -> tuple[DaemonId, ...]:
        """Chooses the peer with the last newer reply, and others in turn."""
        peers = sorted(self._network.peers)
        if not peers:
            return ()
        first = peers[self._next_index % len(peers)]
        second = peers[(self._next_index + 1) % len(peers)]
        if self._last_useful_peer in peers:
            second = self._last_useful_peer
            self._next_index += 1
        else:
            self._next_index += 2
        return tuple(dict.fromkeys((first, second)))

    async def _request(self, peer: DaemonId) -> None:
        # The age is subtracted from the time of sending, not of the reply, so
        # the data is never taken for newer than it is, even if this process
        # is paused before it handles the reply.
        sent_at_ms = self._clock.monotonic_ms()
        reply = await self._network.call(
            peer,
            GetLeavingHosts(),
            self._timeout_ms,
        )
        is_newer = False
        if isinstance(reply, LeavingHosts) and reply.age_ms is not None:
            known_at_ms = sent_at_ms - reply.age_ms
            is_newer = self._feed.apply_peer_report(
                reply.addresses, known_at_ms
            )
        if is_newer:
            self._last_useful_peer = peer
        elif self._last_useful_peer == peer:
            self._last_useful_peer = None

    async def _handle_request(
        self,
        _sender: DaemonId,
        _fetch: GetLeavingHosts,
    ) -> LeavingHosts:
        return LeavingHosts(
            self._feed.leaving_addresses(), self._feed.knowledge.age_ms
        )


__all__ = ('GetLeavingHosts', 'LeavingHostsExchange', 'LeavingHosts')
