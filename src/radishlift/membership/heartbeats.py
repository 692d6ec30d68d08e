"""Heartbeats between peers, and suspicion of peers without heartbeats.

A daemon sends heartbeats to a few peers in turn. Each contains the ages of the
heartbeats that the daemon has received itself. Ages reported by others are not
forwarded: each hop would omit its transmission time, so that an unresponsive
daemon would appear alive.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from radishlift.core.clock import Clock
from radishlift.core.ids import DaemonId, Incarnation
from radishlift.core.logs import log_event
from radishlift.membership.settings import MembershipSettings
from radishlift.membership.summaries import Summary
from radishlift.wire.messages import message

# In this unit, ages up to 12 s fit into one byte of msgpack.
_AGE_UNIT_MS: Final = 100
# Older contacts are of little use and would double the size of a heartbeat.
_MAX_REPORTED_AGE_MS: Final = 3000


@message('heartbeat')
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Reports that a daemon runs, with some of its load summaries.

    `heard` has the time since the sender received the last heartbeat of other
    daemons, in units of 100 ms.
    """

    incarnation: Incarnation
    counter: int
    summaries: dict[str, Any]
    heard: dict[DaemonId, int] = field(default_factory=dict)


@dataclass(slots=True)
class _PeerState:
    """Last contact and summaries of a peer, in times of the monotonic clock.

    `last_contact_ms` includes contacts that others have reported;
    `received_at_ms` is the time of the last heartbeat from the peer itself.
    """

    last_contact_ms: int
    received_at_ms: int | None = None
    incarnation: Incarnation = Incarnation('')
    counter: int = 0
    is_suspected: bool = False
    summaries: dict[str, Summary] = field(default_factory=dict)


class HeartbeatMonitor:
    """Tracks the heartbeats of the group and suspects unresponsive peers."""

    def __init__(self, clock: Clock, settings: MembershipSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._peer_states: dict[DaemonId, _PeerState] = {}
        self._checked_at_ms = clock.monotonic_ms()
        self._resumed_at_ms = self._checked_at_ms

    @property
    def interval_ms(self) -> int:
        """Returns the interval that `suspect_count` multiplies."""
        scaled_ms = len(self._peer_states) * self._settings.interval_per_peer_ms
        return max(self._settings.heartbeat_interval_ms, scaled_ms)

    @property
    def peers(self) -> tuple[DaemonId, ...]:
        """Returns the peers of the group, without this daemon."""
        return tuple(self._peer_states)

    def set_peers(self, peers: Iterable[DaemonId]) -> None:
        """Replaces the group; the time limit of new peers starts now."""
        now_ms = self._clock.monotonic_ms()
        self._peer_states = {
            peer: self._peer_states.get(peer) or _PeerState(now_ms)
            for peer in peers
        }

    def targets(self, counter: int) -> tuple[DaemonId, ...]:
        """Returns the peers that get the heartbeat with this counter."""
        peers = self.peers
        count = min(self._settings.targets_count, len(peers))
        first = counter * count
        return tuple(
            peers[(first + offset) % len(peers)] for offset in range(count)
        )

    def is_retry_due(self, counter: int) -> bool:
        """Returns whether to retry peers without a stream to this daemon."""
        rounds = self.interval_ms // self._settings.heartbeat_interval_ms
        return counter % max(1, rounds) == 0

    def contact_ages(self) -> dict[DaemonId, int]:
        """Returns the ages of the last heartbeats, in units of 100 ms.

        Returns none if each heartbeat is sent to all peers anyway.
        """
        if len(self._peer_states) <= self._settings.targets_count:
            return {}
        now_ms = self._clock.monotonic_ms()
        ages_ms = {
            peer: now_ms - state.received_at_ms
            for peer, state in self._peer_states.items()
            if state.received_at_ms is not None
        }
        return {
            peer: -(-age_ms // _AGE_UNIT_MS)
            for peer, age_ms in ages_ms.items()
            if age_ms <= _MAX_REPORTED_AGE_MS
        }

    def receive(self, sender: DaemonId, heartbeat: Heartbeat) -> bool:
        """Records a heartbeat; returns whether the incarnation is new.

        A heartbeat that arrives after a later one of the same incarnation is
        ignored.
        """
        state = self._peer_states.get(sender)
        if state is None:
            return False
        is_new = state.incarnation != heartbeat.incarnation
        if is_new:
            state.incarnation = heartbeat.incarnation
            state.summaries = {}
        elif heartbeat.counter <= state.counter:
            return False
        state.counter = heartbeat.counter
        state.summaries.update(heartbeat.summaries)
        now_ms = self._clock.monotonic_ms()
        state.received_at_ms = now_ms
        self._record_contact(sender, now_ms)
        for peer, age in heartbeat.heard.items():
            self._record_contact(peer, now_ms - age * _AGE_UNIT_MS)
        return is_new

    def check(self) -> tuple[DaemonId, ...]:
        """Suspects unresponsive peers; returns all suspected peers.

        A pause of this process does not count against its peers.
        """
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._checked_at_ms > 2 * self.interval_ms:
            self._resumed_at_ms = now_ms
        self._checked_at_ms = now_ms
        for peer, state in self._peer_states.items():
            silent_ms = now_ms - max(state.last_contact_ms, self._resumed_at_ms)
            if silent_ms > self._limit_ms and not state.is_suspected:
                state.is_suspected = True
                log_event('peer_suspected', peer=peer, silent_ms=silent_ms)
        return tuple(
            peer
            for peer, state in self._peer_states.items()
            if state.is_suspected
        )

    def is_suspected(self, peer: DaemonId) -> bool:
        """Returns whether heartbeats of a peer of the group are missing."""
        state = self._peer_states.get(peer)
        return state is not None and state.is_suspected

    def summaries_of(self, peer: DaemonId) -> Mapping[str, Summary]:
        """Returns the last summaries of a peer by name."""
        state = self._peer_states.get(peer)
        return {} if state is None else state.summaries

    @property
    def _limit_ms(self) -> int:
        return self._settings.suspect_count * self.interval_ms

    def _record_contact(self, peer: DaemonId, at_ms: int) -> None:
        state = self._peer_states.get(peer)
        if state is None or at_ms < state.last_contact_ms:
            return
        state.last_contact_ms = at_ms
        silent_ms = self._clock.monotonic_ms() - at_ms
        if state.is_suspected and silent_ms <= self._limit_ms:
            state.is_suspected = False
            log_event('peer_heard_again', peer=peer)


__all__ = ('Heartbeat', 'HeartbeatMonitor')
