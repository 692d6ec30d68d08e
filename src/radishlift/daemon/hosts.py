"""Reads the host list once for all parts of a daemon."""

import asyncio
from collections.abc import Callable
from typing import Final

from radishlift.core.errors import Failure
from radishlift.core.logs import log_event
from radishlift.platform.api import Host, HostList
from radishlift.settings.daemon import PlatformSettings

_MS_PER_S: Final = 1000

HostsListener = Callable[[tuple[Host, ...]], None]


class HostFeed:
    """Polls the host list and tells its listeners.

    The last list stays in use while the host list can't be read.
    """

    def __init__(self, source: HostList, settings: PlatformSettings) -> None:
        self._source = source
        self._interval_s = settings.host_list_interval_ms / _MS_PER_S
        self._listeners: list[HostsListener] = []

    def subscribe(self, listener: HostsListener) -> None:
        """Calls a listener with each list that was read."""
        self._listeners.append(listener)

    async def refresh(self) -> Failure | None:
        """Reads the list once."""
        hosts = await self._source.fetch()
        if isinstance(hosts, Failure):
            log_event('host_list_unread', level='DEBUG', reason=hosts.reason)
            return hosts
        for listener in self._listeners:
            listener(hosts)
        return None

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._interval_s)


__all__ = ('HostFeed',)
