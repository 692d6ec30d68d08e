"""Executors of each service, read from the host list of the platform."""

import asyncio
from collections import defaultdict

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ExecutorId, ServiceName
from radishlift.core.logs import log_event
from radishlift.requests.settings import RequestSettings
from radishlift.services.api import Host, HostList, HostRole, HostState
from radishlift.services.host_knowledge import HostKnowledge

_NO_EXECUTORS: frozenset[ExecutorId] = frozenset()


class TargetList:
    """Executors that may get new requests, and those that still exist.

    The last list stays in use while the host list cannot be read, but executors
    get new requests only while `knowledge` is recent enough.
    """

    def __init__(
        self,
        host_list: HostList,
        knowledge: HostKnowledge,
        settings: RequestSettings,
    ) -> None:
        self._host_list = host_list
        self.knowledge = knowledge
        self._settings = settings
        self._live_by_service: dict[ServiceName, frozenset[ExecutorId]] = {}
        self.service_by_executor: dict[ExecutorId, ServiceName] = {}
        self._has_list = False

    def usable_executors(self, service: ServiceName) -> frozenset[ExecutorId]:
        """Returns the executors that may get new requests.

        There are none when an executor may have been removed since the list
        was read: in an outage of the host list, or after a pause of this
        process.
        """
        if self.knowledge.is_outdated:
            self.knowledge.watch()
            return _NO_EXECUTORS
        return self._live_by_service.get(service, _NO_EXECUTORS)

    def live_executors(self, service: ServiceName) -> frozenset[ExecutorId]:
        """Returns the live executors as last read, however long ago."""
        return self._live_by_service.get(service, _NO_EXECUTORS)

    def is_leaving_or_removed(self, executor_id: ExecutorId) -> bool:
        """Returns whether an executor is leaving or removed, as last read."""
        service = self.service_by_executor.get(executor_id, ServiceName(''))
        return self._has_list and executor_id not in self.live_executors(
            service
        )

    def is_removed(self, executor_id: ExecutorId) -> bool:
        """Returns whether an executor is removed for good, as last read."""
        return self._has_list and executor_id not in self.service_by_executor

    async def refresh(self) -> Failure | None:
        """Reads the host list once."""
        try:
            async with asyncio.timeout(
                self._settings.targets_timeout_ms / 1000,
            ):
                hosts = await self._host_list.fetch()
        except TimeoutError:
            hosts = Failure(
                ErrorKind.store_unavailable, 'reading the host list timed out'
            )
        if isinstance(hosts, Failure):
            log_event('host_list_unread', reason=hosts.reason)
            return hosts
        self.set_hosts(hosts)
        return None

    async def run(self) -> None:
        """Reads the host list at intervals until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._settings.targets_interval_ms / 1000)

    def set_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Replaces the executors by those of a host list."""
        live: dict[ServiceName, set[ExecutorId]] = defaultdict(set)
        self.service_by_executor = {}
        for host in hosts:
            if host.role is not HostRole.executor:
                continue
            executor_id = ExecutorId(host.address)
            self.service_by_executor[executor_id] = host.service
            if host.state is HostState.live:
                live[host.service].add(executor_id)
        self._live_by_service = {
            name: frozenset(ids) for name, ids in live.items()
        }
        self._has_list = True


__all__ = ('TargetList',)
