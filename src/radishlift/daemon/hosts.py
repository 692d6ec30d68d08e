"""Reads the host list once for all parts of a daemon."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import replace
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address
from radishlift.core.logs import log_event
from radishlift.platform.api import Host, HostList, HostState
from radishlift.settings.daemon import PlatformSettings

_MS_PER_S: Final = 1000

HostsListener = Callable[[tuple[Host, ...]], None]


class HostFeed:
    """Polls the host list, tells its listeners and serves the last reading.

    The last list stays in use while the host list can't be read, with the
    hosts that peers say are leaving. It is a `HostList` itself, so that parts
    with a loop of their own share its polls.
    """

    def __init__(
        self,
        source: HostList,
        settings: PlatformSettings,
        clock: Clock,
    ) -> None:
        self._source = source
        self.interval_ms = settings.host_list_interval_ms
        self._clock = clock
        self._listeners: list[HostsListener] = []
        self._told: tuple[Host, ...] | None = None
        self._last: tuple[Host, ...] | Failure | None = None
        self._read_at_ms = 0
        self._listed_at_ms = clock.monotonic_ms()
        self._noted: tuple[Host, ...] = ()
        self._noted_at_ms = 0

    def subscribe(self, listener: HostsListener) -> None:
        """Calls a listener with each list that differs from the last."""
        self._listeners.append(listener)

    async def fetch(self) -> tuple[Host, ...] | Failure:
        """Returns the last reading if it is no older than an interval.

        While the list can't be read this is the last list with what peers
        say, if that is no older than two intervals.
        """
        now_ms = self._clock.monotonic_ms()
        if self._noted and now_ms - self._noted_at_ms <= self._outdated_ms:
            return self._noted
        age_ms = now_ms - self._read_at_ms
        if self._last is None or age_ms > self.interval_ms:
            return await self.refresh()
        return self._last

    async def refresh(self) -> tuple[Host, ...] | Failure:
        """Reads the list once."""
        hosts = await self._source.fetch()
        if not isinstance(hosts, Failure) and not hosts:
            # This host itself is listed while it lives; an empty list would
            # declare every worker and daemon gone.
            reason = 'the host list is empty'
            hosts = Failure(ErrorKind.store_unavailable, reason)
        self._last = hosts
        self._read_at_ms = self._clock.monotonic_ms()
        if isinstance(hosts, Failure):
            log_event('host_list_unread', reason=hosts.reason)
            return hosts
        self._listed_at_ms = self._read_at_ms
        self._noted = ()
        if hosts is not self._told:
            self._tell(hosts)
        return hosts

    def is_overdue(self) -> bool:
        """Tells whether the list was not read for two intervals."""
        age_ms = self._clock.monotonic_ms() - self._listed_at_ms
        return age_ms > self._outdated_ms

    def leaving(self) -> tuple[Address, ...]:
        """Lists the leaving hosts as last read, or noted from peers."""
        return tuple(
            host.address
            for host in self._told or ()
            if host.state is HostState.leaving
        )

    def note_leaving(
        self,
        addresses: Collection[Address],
        asked_at_ms: int,
    ) -> None:
        """Marks hosts as leaving until the list is read again.

        `asked_at_ms` is the monotonic time at which a peer was asked.
        """
        if self._told is None or not self.is_overdue():
            return
        live = {
            host.address for host in self._told if host.state is HostState.live
        }
        leaving = live.intersection(addresses)
        if leaving:
            self._tell(tuple(_mark(host, leaving) for host in self._told))
        self._noted = self._told
        self._noted_at_ms = asked_at_ms

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(self.interval_ms / _MS_PER_S)

    @property
    def _outdated_ms(self) -> int:
        return 2 * self.interval_ms

    def _tell(self, hosts: tuple[Host, ...]) -> None:
        self._told = hosts
        for listener in self._listeners:
            listener(hosts)


def _mark(host: Host, leaving: Collection[Address]) -> Host:
    if host.address in leaving:
        return replace(host, state=HostState.leaving)
    return host


__all__ = ('HostFeed',)
