"""Load summaries that daemons send each other, and the choice of a peer."""

from collections.abc import Callable, Container
from dataclasses import dataclass, field, replace
from random import Random
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.ids import DaemonId, ServiceName
from radishlift.wire.messages import message

_SAMPLED_PEERS_COUNT: Final = 2
# What this daemon reckons a peer's idle slots to be holds for this long; then
# the peer's own last count does, which it tells only when it changes.
_ESTIMATE_VALID_MS: Final = 2000


@dataclass(slots=True)
class ServiceLoad:
    """Load of one service at one daemon."""

    idle_count: int
    wanted_count: int


@message('service_loads')
@dataclass(frozen=True, slots=True)
class ServiceLoads:
    """Loads of one daemon, sent when they have changed."""

    services: dict[ServiceName, ServiceLoad] = field(default_factory=dict)


class _PeerLoads:
    """What a peer told, and what this daemon reckons from it."""

    def __init__(self, reported: ServiceLoads, now_ms: int) -> None:
        self._reported = reported
        self._estimates: dict[ServiceName, ServiceLoad] = {}
        self._estimates_since_ms = now_ms

    def get(self, service: ServiceName, now_ms: int) -> ServiceLoad | None:
        """Returns the load of a service, which the caller may correct."""
        if now_ms - self._estimates_since_ms >= _ESTIMATE_VALID_MS:
            self._estimates = {}
            self._estimates_since_ms = now_ms
        reported = self._reported.services.get(service)
        if reported is None:
            return None
        return self._estimates.setdefault(service, replace(reported))


class LoadTable:
    """The last summaries of the peers that aren't suspected."""

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
        """Keeps the summary of a peer in place of its earlier one."""
        self._loads[sender] = _PeerLoads(loads, self._clock.monotonic_ms())

    def remove(self, sender: DaemonId) -> None:
        """Drops the summary of a peer whose stream has ended.

        The peer sends it again on its next stream.
        """
        self._loads.pop(sender, None)

    def peer_loads(self, service: ServiceName) -> dict[DaemonId, ServiceLoad]:
        """Returns the loads of the peers that report and aren't suspected."""
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
        """Chooses the peer with more idle slots out of two random ones.

        Peers of the own region come first, as those of others are farther.
        The chosen peer counts one idle slot less until its next summary, so
        that a burst does not go to one peer.
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
        """Corrects the idle slots of a peer by its answer to a forward."""
        load = self.peer_loads(service).get(daemon_id)
        if load is not None:
            load.idle_count = idle_count


__all__ = ('LoadTable', 'ServiceLoad', 'ServiceLoads')
