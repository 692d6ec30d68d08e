"""Reads the host list once for all components of a daemon."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import replace
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address
from radishlift.core.logs import log_event
from radishlift.services.api import Host, HostList, HostState
from radishlift.services.host_knowledge import HostKnowledge
from radishlift.settings.daemon import PlatformSettings

_MS_PER_S: Final = 1000
_NO_ADDRESSES: Final[frozenset[Address]] = frozenset()

HostsListener = Callable[[tuple[Host, ...]], None]


class HostFeed:
    """Polls the host list, notifies listeners and caches the last result.

    While the host list can't be read, the last list stays in use, and the
    hosts that peers report as leaving are marked in it; `knowledge` has its
    age. The class implements `HostList`, so that components with their own
    loop share its polls.
    """

    def __init__(
        self,
        source: HostList,
        settings: PlatformSettings,
        clock: Clock,
    ) -> None:
        self._source = source
        self._settings = settings
        self._clock = clock
        self.knowledge = HostKnowledge(clock, settings.host_list_limit_ms)
        self._listeners: list[HostsListener] = []
        self._last_result: tuple[Host, ...] | Failure | None = None
        self._last_fetch_at_ms = 0
        self._listed: tuple[Host, ...] = ()
        self._read_at_ms: int | None = None
        self._peer_leaving: frozenset[Address] = _NO_ADDRESSES
        self._peer_known_at_ms = 0
        self._hosts: tuple[Host, ...] = ()
        self._leaving_addresses: tuple[Address, ...] = ()
        self._hosts_inputs: tuple[tuple[Host, ...], frozenset[Address]]
        self._hosts_inputs = ((), _NO_ADDRESSES)

    def subscribe(self, listener: HostsListener) -> None:
        """Adds a listener, called with each list that differs from the last."""
        self._listeners.append(listener)

    async def fetch(self) -> tuple[Host, ...] | Failure:
        """Returns the cached result, or reads the list after an interval.

        While the list can't be read, returns the last list with the leaving
        hosts reported by peers, if those reports are recent enough for new
        work.
        """
        if self._has_newer_peer_report and not self.knowledge.is_outdated:
            return self._hosts
        age_ms = self._clock.monotonic_ms() - self._last_fetch_at_ms
        if (
            self._last_result is None
            or age_ms > self._settings.host_list_interval_ms
        ):
            return await self.refresh()
        return self._last_result

    async def refresh(self) -> tuple[Host, ...] | Failure:
        """Reads the list once.

        An answer that arrives after the answer to a later read is ignored.
        """
        sent_at_ms = self._clock.monotonic_ms()
        self._last_fetch_at_ms = sent_at_ms
        hosts = await self._source.fetch()
        if not isinstance(hosts, Failure) and not hosts:
            # A live daemon's own host is always listed, so an empty list is
            # an error; using it would remove every worker and daemon.
            reason = 'the host list is empty'
            hosts = Failure(ErrorKind.store_unavailable, reason)
        if isinstance(hosts, Failure):
            self._last_result = hosts
            log_event('host_list_unread', reason=hosts.reason)
            return hosts
        if self._read_at_ms is not None and sent_at_ms < self._read_at_ms:
            return self._hosts
        self._read_at_ms = sent_at_ms
        self._listed = hosts
        if not self._has_newer_peer_report:
            self._peer_leaving = _NO_ADDRESSES
        self._update()
        self._last_result = self._hosts
        return self._hosts

    @property
    def peer_request_due_in_ms(self) -> int:
        """Returns the time until the next peer request; 0 if it is due now.

        Requests are due at an age of half the sum of the read interval and
        the age limit, midway between the next read and the limit, so that
        peers have the other half to answer.
        """
        settings = self._settings
        age_ms = self.knowledge.age_ms
        if age_ms is None:
            return 0
        due_ms = settings.host_list_interval_ms + settings.host_list_limit_ms
        return max(0, due_ms // 2 - age_ms)

    def leaving_addresses(self) -> tuple[Address, ...]:
        """Returns the leaving hosts, as last read or as reported by peers."""
        return self._leaving_addresses

    def apply_peer_report(
        self,
        addresses: Collection[Address],
        known_at_ms: int,
    ) -> bool:
        """Applies a peer's leaving hosts if they are newer than the own data.

        `known_at_ms` is the monotonic time of the request to the peer, less
        the age of the peer's data. The reported hosts stay marked as leaving
        until a later read of the own list. Returns whether the report was
        newer.
        """
        if self._read_at_ms is None:
            return False
        if known_at_ms <= max(self._read_at_ms, self._peer_known_at_ms):
            return False
        self._peer_known_at_ms = known_at_ms
        self._peer_leaving |= frozenset(addresses)
        self._update()
        return True

    async def run(self) -> None:
        """Polls until cancelled.

        The interval counts from the start of a read, so that a read that
        gets no answer does not delay the next one.
        """
        while True:
            await self.refresh()
            passed_ms = self._clock.monotonic_ms() - self._last_fetch_at_ms
            rest_ms = self._settings.host_list_interval_ms - passed_ms
            await asyncio.sleep(max(0, rest_ms) / _MS_PER_S)

    @property
    def _has_newer_peer_report(self) -> bool:
        return self._peer_known_at_ms > (self._read_at_ms or 0)

    def _update(self) -> None:
        # Listeners compare what they know with the time of the list.
        self.knowledge.listed_at_ms = self._read_at_ms
        listed, peer_leaving = self._hosts_inputs
        # An unchanged list is the same object, and it may be long.
        if listed is not self._listed or peer_leaving != self._peer_leaving:
            self._hosts_inputs = (self._listed, self._peer_leaving)
            self._publish(
                tuple(
                    _mark_leaving(host, self._peer_leaving)
                    for host in self._listed
                )
            )
        known_at_ms = max(self._read_at_ms or 0, self._peer_known_at_ms)
        # Updated after the listeners ran: when work may be sent again, they
        # already exclude the leaving hosts.
        self.knowledge.update(self._leaving_addresses, known_at_ms)

    def _publish(self, hosts: tuple[Host, ...]) -> None:
        self._hosts = hosts
        self._leaving_addresses = tuple(
            host.address for host in hosts if host.state is HostState.leaving
        )
        for listener in self._listeners:
            listener(hosts)


def _mark_leaving(host: Host, leaving: Collection[Address]) -> Host:
    if host.address in leaving and host.state is HostState.live:
        return replace(host, state=HostState.leaving)
    return host


__all__ = ('HostFeed',)
