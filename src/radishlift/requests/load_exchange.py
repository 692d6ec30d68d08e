"""Exchange of load summaries, and slot allotments that follow them."""

import asyncio
from collections.abc import Mapping

from radishlift.core.ids import DaemonId, ServiceName
from radishlift.requests.call_scheduler import CallScheduler
from radishlift.requests.load_publisher import LoadPublisher
from radishlift.requests.loads import LoadTable, ServiceLoad, ServiceLoads
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_policy import smooth_demand, wanted_slots_count
from radishlift.requests.slot_rebalancer import WantedCounts
from radishlift.requests.slots import SlotAllotments, SlotParts
from radishlift.requests.sync_schedule import SyncSchedule
from radishlift.wire.network import PeerNetwork


class LoadExchange:
    """Measures the load of this daemon and exchanges it with its peers."""

    def __init__(
        self,
        network: PeerNetwork,
        slots: SlotAllotments,
        parts: SlotParts,
        settings: RequestSettings,
    ) -> None:
        self._network = network
        self._slots = slots
        self._parts = parts
        self._settings = settings
        self._demands: dict[ServiceName, float] = {}
        self._forwarded_counts: Mapping[ServiceName, int] = {}
        self.load_table = LoadTable(
            parts.clock,
            parts.members.is_suspected,
            network.daemon_id,
            self._same_region_daemons,
        )

    def connect(
        self,
        scheduler: CallScheduler,
        forwarded_counts: Mapping[ServiceName, int],
    ) -> None:
        """Starts to receive summaries.

        `forwarded_counts` are the calls that are running at peers; they count
        as demand of this daemon.
        """
        self._forwarded_counts = forwarded_counts

        async def receive(sender: DaemonId, loads: ServiceLoads) -> None:
            self.load_table.store(sender, loads)
            scheduler.serve_queues()

        self._network.register(ServiceLoads, receive)
        self._network.incoming_ended.subscribe(self.load_table.remove)

    async def run_slot_sync(self, scheduler: CallScheduler) -> None:
        """Reads and moves slot allotments until cancelled."""
        schedule = SyncSchedule(self._settings, self._parts.clock)
        targets = self._parts.targets
        while True:
            wanted = self._wanted_counts(scheduler)
            executors = {name: targets.live_executors(name) for name in wanted}
            inputs = (wanted, executors, self._slots.is_draining)
            if schedule.is_due(inputs):
                before = self._slots.views.versions()
                self._slots.wanted_counts = wanted
                await self._slots.sync()
                is_changed = before != self._slots.views.versions()
                schedule.record_sync(inputs, is_changed=is_changed)
            scheduler.keep_only(self._parts.targets.service_by_executor)
            scheduler.serve_queues()
            await asyncio.sleep(self._settings.sync_interval_ms / 1000)

    async def run_load_publisher(self, scheduler: CallScheduler) -> None:
        """Sends new load summaries to peers until cancelled."""
        publisher = LoadPublisher(self._network, self._parts.clock)
        while True:
            await publisher.publish(self._own_loads(scheduler))
            await asyncio.sleep(self._settings.summary_interval_ms / 1000)

    def _same_region_daemons(self) -> frozenset[DaemonId]:
        members = self._parts.members.members()
        regions = {member.daemon_id: member.region for member in members}
        own = regions.get(self._network.daemon_id, '')
        return frozenset(
            daemon_id for daemon_id, region in regions.items() if region == own
        )

    def _own_loads(self, scheduler: CallScheduler) -> ServiceLoads:
        return ServiceLoads(
            {
                service: ServiceLoad(
                    0
                    if self._slots.is_draining
                    else scheduler.idle_count(service),
                    self._own_wanted_count(service),
                )
                for service in self._parts.limits.service_names
            }
        )

    def _wanted_counts(
        self, scheduler: CallScheduler
    ) -> dict[ServiceName, WantedCounts]:
        wanted: dict[ServiceName, WantedCounts] = {}
        for service in self._parts.limits.service_names:
            self._update_demand(service, scheduler)
            counts = {
                daemon_id: load.wanted_count
                for daemon_id, load in self.load_table.peer_loads(
                    service
                ).items()
            }
            counts[self._network.daemon_id] = self._own_wanted_count(service)
            wanted[service] = counts
        return wanted

    def _update_demand(
        self, service: ServiceName, scheduler: CallScheduler
    ) -> None:
        sampled = (
            self._slots.busy_count(service)
            + scheduler.waiting_count(service)
            + self._forwarded_counts.get(service, 0)
        )
        previous = self._demands.get(service, 0)
        self._demands[service] = smooth_demand(previous, sampled)

    def _own_wanted_count(self, service: ServiceName) -> int:
        if self._slots.is_draining:
            return 1
        return wanted_slots_count(self._demands.get(service, 0))


__all__ = ('LoadExchange',)
