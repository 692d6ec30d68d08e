"""Sends and receives load summaries; drives the allotments by them."""

import asyncio
from collections.abc import Mapping

from radishlift.core.ids import DaemonId, ServiceName
from radishlift.requests.load_teller import LoadTeller
from radishlift.requests.loads import LoadBoard, ServiceLoad, ServiceLoads
from radishlift.requests.places import Places
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_moves import Wanted
from radishlift.requests.slot_policy import smooth_demand, wanted_slots
from radishlift.requests.slots import SlotAllotments, SlotParts
from radishlift.requests.sync_pacer import SyncPacer
from radishlift.wire.network import PeerNetwork


class LoadExchange:
    """Measures this daemon's demand and shares it with its peers."""

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
        self._forwarded: Mapping[ServiceName, int] = {}
        self.board = LoadBoard(
            parts.clock,
            parts.members.is_suspected,
            network.daemon_id,
            self._near,
        )

    def connect(
        self,
        places: Places,
        forwarded: Mapping[ServiceName, int],
    ) -> None:
        """Starts to receive summaries; counts forwarded calls as demand."""
        self._forwarded = forwarded

        async def receive(sender: DaemonId, loads: ServiceLoads) -> None:
            self.board.store(sender, loads)
            places.pump_all()

        self._network.register(ServiceLoads, receive)
        self._network.incoming_ended.subscribe(self.board.forget)

    async def run_slots(self, places: Places) -> None:
        """Syncs the allotments until cancelled."""
        pacer = SyncPacer(self._settings, self._parts.clock)
        targets = self._parts.targets
        while True:
            wanted = self._wanted(places)
            listed = {name: targets.listed(name) for name in wanted}
            situation = (wanted, listed, self._slots.is_draining)
            if pacer.is_due(situation):
                before = self._slots.views.versions()
                self._slots.wanted = wanted
                await self._slots.sync()
                is_changed = before != self._slots.views.versions()
                pacer.note_sync(situation, is_changed=is_changed)
            places.keep_only(self._parts.targets.services)
            places.pump_all()
            await asyncio.sleep(self._settings.sync_interval_ms / 1000)

    async def run_summaries(self, places: Places) -> None:
        """Sends summaries to peers that don't know them until cancelled."""
        teller = LoadTeller(self._network, self._parts.clock)
        while True:
            await teller.tell(self._own_loads(places))
            await asyncio.sleep(self._settings.summary_interval_ms / 1000)

    def _near(self) -> frozenset[DaemonId]:
        members = self._parts.members.members()
        regions = {member.daemon_id: member.region for member in members}
        own = regions.get(self._network.daemon_id, '')
        return frozenset(
            daemon_id for daemon_id, region in regions.items() if region == own
        )

    def _own_loads(self, places: Places) -> ServiceLoads:
        return ServiceLoads(
            {
                service: ServiceLoad(
                    0
                    if self._slots.is_draining
                    else places.idle_count(service),
                    self._own_wanted(service),
                )
                for service in self._parts.limits.names
            }
        )

    def _wanted(self, places: Places) -> dict[ServiceName, Wanted]:
        wanted: dict[ServiceName, Wanted] = {}
        for service in self._parts.limits.names:
            self._sample(service, places)
            counts = {
                daemon_id: load.wanted_count
                for daemon_id, load in self.board.fresh(service).items()
            }
            counts[self._network.daemon_id] = self._own_wanted(service)
            wanted[service] = counts
        return wanted

    def _sample(self, service: ServiceName, places: Places) -> None:
        sampled = (
            self._slots.busy_count(service)
            + places.waiting_count(service)
            + self._forwarded.get(service, 0)
        )
        previous = self._demands.get(service, 0)
        self._demands[service] = smooth_demand(previous, sampled)

    def _own_wanted(self, service: ServiceName) -> int:
        if self._slots.is_draining:
            return 1
        return wanted_slots(self._demands.get(service, 0))


__all__ = ('LoadExchange',)
