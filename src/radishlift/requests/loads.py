"""Load summaries of daemons, and the choice of a peer by them."""

from collections.abc import Callable, Container
from dataclasses import dataclass, field, replace
from random import Random
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.ids import DaemonId, ServiceName
from radishlift.wire.messages import message

_SAMPLED_PEERS_COUNT: Final = 2
# An estimate of the idle slots of a peer is used for this time. Then the count
# that the peer last reported applies again, which it sends only on a change.
_ESTIMATE_VALID_MS: Final = 2000


@dataclass(slots=True)
class ServiceLoad:
    """Load of one service at one daemon."""

    idle_count: int
    wanted_count: int


@message('service_loads')
@dataclass(frozen=True, slots=True)
class ServiceLoads:
    """Loads of all services at one daemon."""

    services: dict[ServiceName, ServiceLoad] = field(default_factory=dict)


class _PeerLoads:
    """Loads that a peer reported, and local estimates based on them."""

    def __init__(self, reported: ServiceLoads, now_ms: int) -> None:
        self._reported = reported
        self._estimates: dict[ServiceName, ServiceLoad] = {}
        self._estimates_since_ms = now_ms

    def get(self, service: ServiceName, now_ms: int) -> ServiceLoad | None:
        """Returns the estimate for a service, which the caller may change."""
        if now_ms - self._estimates_since_ms >= _ESTIMATE_VALID_MS:
            self._estimates = {}
            self._estimates_since_ms = now_ms
        reported = self._reported.services.get(service)
        if reported is None:
            return None
        return self._estimates.setdefault(service, replace(reported))


class LoadTable:
    """The latest load summaries of peers."""

    def __init__(
        self,
        clock: Clock,
        is_suspected: Callable[[DaemonId], bool],
        seed: str = '',
        same_region: Callable[[], Container[DaemonId]] = frozenset,
    ) -> None:
        self._same_region = same_region
        self._clock = clock
        self._is_suspected = is_suspected
        self._random = Random(seed)
        self._loads: dict[DaemonId, _PeerLoads] = {}

    def store(self, sender: DaemonId, loads: ServiceLoads) -> None:
        """Stores the summary of a peer in place of its earlier summary."""
        self._loads[sender] = _PeerLoads(loads, self._clock.monotonic_ms())

    def remove(self, sender: DaemonId) -> None:
        """Removes the summary of a peer whose connection has ended.

        The peer sends it again on its next connection.
        """
        self._loads.pop(sender, None)

    def peer_loads(self, service: ServiceName) -> dict[DaemonId, ServiceLoad]:
        """Returns the loads of a service at peers that are not suspected."""
        now_ms = self._clock.monotonic_ms()
        loads = {
            daemon_id: known.get(service, now_ms)
            for daemon_id, known in self._loads.items()
            if not self._is_suspected(daemon_id)
        }
        return {
            daemon_id: load
            for daemon_id, load in loads.items()
            if load is not None
        }

    def choose_peer(self, service: ServiceName) -> DaemonId | None:
        """Chooses the peer with more idle slots out of two random peers.

        Peers of the same region are preferred, since others are farther away.
        The estimate for the chosen peer is reduced by an idle slot, so that a
        burst is not sent to one peer.
        """
        idle = {
            daemon_id: load
            for daemon_id, load in self.peer_loads(service).items()
            if load.idle_count > 0
        }
        if not idle:
            return None
        same_region = self._same_region()
        in_region = [
            daemon_id for daemon_id in idle if daemon_id in same_region
        ]
        drawn = sorted(in_region or idle)
        choices = self._random.sample(
            drawn, min(_SAMPLED_PEERS_COUNT, len(drawn))
        )
        best = max(choices, key=lambda daemon_id: idle[daemon_id].idle_count)
        idle[best].idle_count -= 1
        return best

    def set_idle_count(
        self,
        daemon_id: DaemonId,
        service: ServiceName,
        idle_count: int,
    ) -> None:
        """Sets the idle slots of a peer by its reply to a forwarded call."""
        load = self.peer_loads(service).get(daemon_id)
        if load is not None:
            load.idle_count = idle_count


__all__ = ('LoadTable', 'ServiceLoad', 'ServiceLoads')
