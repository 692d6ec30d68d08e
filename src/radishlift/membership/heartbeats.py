"""Heartbeats between peers and the suspicion that missing ones raise.

A daemon sends to a few peers in turn and tells them which others it has heard
itself. What it was told by others is not passed on: an age that is told again
and again would lose the time on the way and keep a silent daemon alive.
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

# An age in one byte of msgpack, up to 12 s.
_AGE_UNIT_MS: Final = 100
# Older signs are of little use and would double the size of a heartbeat.
_MAX_TOLD_AGE_MS: Final = 3000


@message('heartbeat')
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells that a daemon runs, and some of its load summaries.

    `heard` has the time since the sender's last heartbeat from others, in
    units of 100 ms.
    """

    incarnation: Incarnation
    counter: int
    summaries: dict[str, Any]
    heard: dict[DaemonId, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Heard:
    """What was heard of a peer; times are on the monotonic clock.

    `heard_at_ms` is that of the latest sign, `received_at_ms` that of the
    latest heartbeat from the peer itself.
    """

    heard_at_ms: int
    received_at_ms: int | None = None
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
        self._resumed_at_ms = self._checked_at_ms

    @property
    def interval_ms(self) -> int:
        """Returns the time that `suspect_count` multiplies."""
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

    def targets(self, counter: int) -> tuple[DaemonId, ...]:
        """Lists the peers that get the heartbeat with this counter."""
        peers = self.peers
        count = min(self._settings.targets_count, len(peers))
        first = counter * count
        return tuple(
            peers[(first + place) % len(peers)] for place in range(count)
        )

    def is_retry_due(self, counter: int) -> bool:
        """Tells whether to try the peers that have no stream with this one."""
        rounds = self.interval_ms // self._settings.heartbeat_interval_ms
        return counter % max(1, rounds) == 0

    def ages(self) -> dict[DaemonId, int]:
        """Returns the age of the last heartbeats, in units of 100 ms.

        There are none when each heartbeat goes to all peers anyway.
        """
        if len(self._heard) <= self._settings.targets_count:
            return {}
        now_ms = self._clock.monotonic_ms()
        ages_ms = {
            peer: now_ms - heard.received_at_ms
            for peer, heard in self._heard.items()
            if heard.received_at_ms is not None
        }
        return {
            peer: -(-age_ms // _AGE_UNIT_MS)
            for peer, age_ms in ages_ms.items()
            if age_ms <= _MAX_TOLD_AGE_MS
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
        heard.summaries.update(heartbeat.summaries)
        now_ms = self._clock.monotonic_ms()
        heard.received_at_ms = now_ms
        self._note_sign(sender, now_ms)
        for peer, age in heartbeat.heard.items():
            self._note_sign(peer, now_ms - age * _AGE_UNIT_MS)
        return is_new

    def check(self) -> tuple[DaemonId, ...]:
        """Suspects silent peers; returns all that are suspected.

        A pause of this process does not count against its peers.
        """
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._checked_at_ms > 2 * self.interval_ms:
            self._resumed_at_ms = now_ms
        self._checked_at_ms = now_ms
        for peer, heard in self._heard.items():
            silent_ms = now_ms - max(heard.heard_at_ms, self._resumed_at_ms)
            if silent_ms > self._limit_ms and not heard.is_suspected:
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

    @property
    def _limit_ms(self) -> int:
        return self._settings.suspect_count * self.interval_ms

    def _note_sign(self, peer: DaemonId, at_ms: int) -> None:
        heard = self._heard.get(peer)
        if heard is None or at_ms < heard.heard_at_ms:
            return
        heard.heard_at_ms = at_ms
        silent_ms = self._clock.monotonic_ms() - at_ms
        if heard.is_suspected and silent_ms <= self._limit_ms:
            heard.is_suspected = False
            log_event('peer_heard_again', peer=peer)


__all__ = ('Heartbeat', 'HeartbeatMonitor')
