"""Load summaries that daemons send each other, and the choice of a peer."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.ids import DaemonId, ServiceName
from radishlift.wire.messages import message

# An unchanged summary is repeated after this many intervals; a peer whose
# summary was not repeated twice in a row does not count.
SUMMARY_REPEAT_INTERVALS: Final = 4
_FRESH_INTERVALS: Final = 2 * SUMMARY_REPEAT_INTERVALS + 1
_CHOICES_COUNT: Final = 2


@dataclass(slots=True)
class ServiceLoad:
    """Load of one service at one daemon."""

    idle_count: int
    wanted_count: int


@message('service_loads')
@dataclass(frozen=True, slots=True)
class ServiceLoads:
    """Loads of one daemon, sent at each summary interval."""

    services: dict[ServiceName, ServiceLoad] = field(default_factory=dict)


class LoadBoard:
    """The last summaries of the peers; old ones don't count."""

    def __init__(
        self,
        clock: Clock,
        interval_ms: int,
        is_suspected: Callable[[DaemonId], bool],
        seed: str = '',
    ) -> None:
        self._clock = clock
        self._fresh_ms = _FRESH_INTERVALS * interval_ms
        self._is_suspected = is_suspected
        self._random = Random(seed)
        self._loads: dict[DaemonId, tuple[int, ServiceLoads]] = {}

    def store(self, sender: DaemonId, loads: ServiceLoads) -> None:
        """Keeps a summary; forgets those of peers that stopped to send."""
        now_ms = self._clock.monotonic_ms()
        self._loads[sender] = (now_ms, loads)
        for peer, (stored_at_ms, _) in tuple(self._loads.items()):
            if stored_at_ms < now_ms - self._fresh_ms:
                self._loads.pop(peer)

    def fresh(self, service: ServiceName) -> dict[DaemonId, ServiceLoad]:
        """Returns the loads of the peers that report and aren't suspected."""
        oldest_ms = self._clock.monotonic_ms() - self._fresh_ms
        return {
            daemon_id: loads.services[service]
            for daemon_id, (stored_at_ms, loads) in self._loads.items()
            if stored_at_ms >= oldest_ms
            and service in loads.services
            and not self._is_suspected(daemon_id)
        }

    def choose(self, service: ServiceName) -> DaemonId | None:
        """Chooses the peer with more idle slots out of two random ones.

        The chosen peer counts one idle slot less until its next summary, so
        that a burst does not go to one peer.
        """
        idle = {
            daemon_id: load
            for daemon_id, load in self.fresh(service).items()
            if load.idle_count > 0
        }
        if not idle:
            return None
        choices_count = min(_CHOICES_COUNT, len(idle))
        choices = self._random.sample(sorted(idle), choices_count)
        best = max(choices, key=lambda daemon_id: idle[daemon_id].idle_count)
        idle[best].idle_count -= 1
        return best

    def set_idle(
        self,
        daemon_id: DaemonId,
        service: ServiceName,
        idle_count: int,
    ) -> None:
        """Corrects the idle slots of a peer by its answer to a forward."""
        load = self.fresh(service).get(daemon_id)
        if load is not None:
            load.idle_count = idle_count


__all__ = (
    'SUMMARY_REPEAT_INTERVALS',
    'LoadBoard',
    'ServiceLoad',
    'ServiceLoads',
)
