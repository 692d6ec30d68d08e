"""Reads the host list once for all parts of a daemon."""

import asyncio
from collections.abc import Callable
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.platform.api import Host, HostList
from radishlift.settings.daemon import PlatformSettings

_MS_PER_S: Final = 1000

HostsListener = Callable[[tuple[Host, ...]], None]


class HostFeed:
    """Polls the host list, tells its listeners and serves the last reading.

    The last list stays in use while the host list can't be read. It is a
    `HostList` itself, so that parts with a loop of their own share its polls.
    """

    def __init__(
        self,
        source: HostList,
        settings: PlatformSettings,
        clock: Clock,
    ) -> None:
        self._source = source
        self._interval_ms = settings.host_list_interval_ms
        self._clock = clock
        self._listeners: list[HostsListener] = []
        self._told: tuple[Host, ...] | None = None
        self._last: tuple[Host, ...] | Failure | None = None
        self._read_at_ms = 0

    def subscribe(self, listener: HostsListener) -> None:
        """Calls a listener with each list that differs from the last."""
        self._listeners.append(listener)

    async def fetch(self) -> tuple[Host, ...] | Failure:
        """Returns the last reading if it is no older than an interval."""
        age_ms = self._clock.monotonic_ms() - self._read_at_ms
        if self._last is None or age_ms > self._interval_ms:
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
        elif hosts is not self._told:
            self._told = hosts
            for listener in self._listeners:
                listener(hosts)
        return hosts

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._interval_ms / _MS_PER_S)


__all__ = ('HostFeed',)
