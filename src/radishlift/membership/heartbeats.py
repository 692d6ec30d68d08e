"""Heartbeats between peers and the suspicion that missing ones raise."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from radishlift.core.clock import Clock
from radishlift.core.ids import DaemonId, Incarnation
from radishlift.core.logs import log_event
from radishlift.membership.settings import MembershipSettings
from radishlift.membership.summaries import Summary
from radishlift.wire.messages import message


@message('heartbeat')
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells that a daemon runs, and some of its load summaries."""

    incarnation: Incarnation
    counter: int
    summaries: dict[str, Any]


@dataclass(slots=True)
class _Heard:
    """What was heard of a peer; times are on the monotonic clock."""

    heard_at_ms: int
    incarnation: Incarnation = Incarnation('')
    counter: int = 0
    is_suspected: bool = False
    summaries: dict[str, Summary] = field(default_factory=dict)


class HeartbeatMonitor:
    """Remembers the heartbeats of the group and suspects silent peers."""

    def __init__(self, clock: Clock, settings: MembershipSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._heard: dict[DaemonId, _Heard] = {}
        self._checked_at_ms = clock.monotonic_ms()

    @property
    def interval_ms(self) -> int:
        """Returns the time between two heartbeats to the same peer."""
        paced_ms = len(self._heard) * self._settings.interval_per_peer_ms
        return max(self._settings.heartbeat_interval_ms, paced_ms)

    @property
    def peers(self) -> tuple[DaemonId, ...]:
        """Lists the peers of the group, without this daemon."""
        return tuple(self._heard)

    def set_peers(self, peers: Iterable[DaemonId]) -> None:
        """Replaces the group; new peers get the full time to be heard."""
        now_ms = self._clock.monotonic_ms()
        self._heard = {
            peer: self._heard.get(peer) or _Heard(now_ms) for peer in peers
        }

    def receive(self, sender: DaemonId, heartbeat: Heartbeat) -> bool:
        """Notes a heartbeat; returns whether the incarnation is new.

        A heartbeat that overtook a later one of the same incarnation does
        not change the summaries back.
        """
        heard = self._heard.get(sender)
        if heard is None:
            return False
        is_new = heard.incarnation != heartbeat.incarnation
        if is_new:
            heard.incarnation = heartbeat.incarnation
            heard.summaries = {}
        elif heartbeat.counter <= heard.counter:
            return False
        heard.counter = heartbeat.counter
        heard.heard_at_ms = self._clock.monotonic_ms()
        heard.summaries.update(heartbeat.summaries)
        if heard.is_suspected:
            heard.is_suspected = False
            log_event('peer_heard_again', peer=sender)
        return is_new

    def check(self) -> tuple[DaemonId, ...]:
        """Suspects silent peers; returns all that are suspected.

        A pause of this process does not count against its peers.
        """
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._checked_at_ms > 2 * self.interval_ms:
            for heard in self._heard.values():
                heard.heard_at_ms = now_ms
        self._checked_at_ms = now_ms
        limit_ms = self._settings.suspect_count * self.interval_ms
        for peer, heard in self._heard.items():
            silent_ms = now_ms - heard.heard_at_ms
            if silent_ms > limit_ms and not heard.is_suspected:
                heard.is_suspected = True
                log_event('peer_suspected', peer=peer, silent_ms=silent_ms)
        return tuple(
            peer for peer, heard in self._heard.items() if heard.is_suspected
        )

    def is_suspected(self, peer: DaemonId) -> bool:
        """Tells whether heartbeats of a peer of the group are missing."""
        heard = self._heard.get(peer)
        return heard is not None and heard.is_suspected

    def summaries_of(self, peer: DaemonId) -> Mapping[str, Summary]:
        """Returns the last summaries of a peer by name."""
        heard = self._heard.get(peer)
        return {} if heard is None else heard.summaries


__all__ = ('Heartbeat', 'HeartbeatMonitor')
