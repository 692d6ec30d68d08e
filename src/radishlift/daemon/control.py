"""Configuration, ownership and partitions of a daemon."""

import asyncio
from collections.abc import Callable

from radishlift.config.settings import ConfigSettings
from radishlift.config.spreader import ConfigSpreader
from radishlift.config.store import ConfigStore
from radishlift.core.ids import DepartmentName, PartitionId
from radishlift.daemon.foundation import Foundation
from radishlift.journal.budget import FlushScheduler
from radishlift.journal.settings import JournalSettings
from radishlift.ownership.api import OwnerClaim
from radishlift.ownership.directory import OwnerDirectory
from radishlift.ownership.fleet_view import FleetView
from radishlift.ownership.homes_loader import HomesLoader
from radishlift.ownership.manager import OwnershipManager
from radishlift.ownership.settings import OwnershipSettings
from radishlift.partitions.partitions import Partitions
from radishlift.partitions.parts import DaemonParts, PartitionSettingsSet
from radishlift.partitions.settings import PartitionSettings
from radishlift.partitions.states import StateFactory
from radishlift.placement.settings import PlacementSettings
from radishlift.quotas.settings import QuotaSettings
from radishlift.report.keeper import CountsKeeper
from radishlift.report.metrics import Indicator, MetricsTable
from radishlift.report.settings import ReportSettings
from radishlift.workers.client import WorkerClient
from radishlift.workers.settings import WorkerSettings


class ReplacedListener:
    """Passes ownership on to the partitions, and stops a replaced daemon."""

    def __init__(
        self,
        partitions: Partitions,
        stop_daemon: Callable[[], None],
    ) -> None:
        self._partitions = partitions
        self._stop_daemon = stop_daemon

    async def on_acquired(self, claim: OwnerClaim) -> None:
        """Starts a partition."""
        await self._partitions.on_acquired(claim)

    async def on_releasing(self, partition_id: PartitionId) -> None:
        """Ends the work on a partition that is given up."""
        await self._partitions.on_releasing(partition_id)

    async def on_lost(self, partition_id: PartitionId) -> None:
        """Drops a partition."""
        await self._partitions.on_lost(partition_id)

    async def on_replaced(self) -> None:
        """Drops everything and stops: a newer incarnation runs."""
        await self._partitions.on_replaced()
        self._stop_daemon()


class Control:
    """Builds the parts that decide what this daemon owns."""

    def __init__(
        self,
        base: Foundation,
        state_factories: tuple[StateFactory, ...],
        stop_daemon: Callable[[], None],
    ) -> None:
        settings = base.settings
        config_settings = settings.get(ConfigSettings)
        self.config_store = ConfigStore(
            base.store,
            config_settings,
            base.clock,
        )
        self.config = ConfigSpreader(
            base.store,
            self.config_store,
            base.network,
            base.membership,
            config_settings,
            base.clock,
        )
        self.metrics = MetricsTable(
            self.config,
            settings.get(ReportSettings),
            base.clock,
        )
        self.counts = CountsKeeper(
            self.metrics,
            base.object_store,
            base.clock,
            base.member.daemon_id,
            settings.get(ReportSettings),
        )
        self.homes_loader = HomesLoader(
            base.store,
            self.config,
            base.clock,
        )
        self.directory = OwnerDirectory(self.config, self.homes_loader.homes)
        self.worker_client = WorkerClient(settings.get(WorkerSettings))
        self.parts = self._parts(base, state_factories)
        self.partitions = Partitions(
            self.parts,
            self.config,
            self._give_up,
        )
        base.hosts.subscribe(self.partitions.update_hosts)
        self.ownership = self._ownership(base, stop_daemon)
        base.membership.subscribe(self.ownership.wake)
        self._drops: set[asyncio.Task[None]] = set()

    def _parts(
        self,
        base: Foundation,
        state_factories: tuple[StateFactory, ...],
    ) -> DaemonParts:
        settings = base.settings
        journal = settings.get(JournalSettings)
        return DaemonParts(
            daemon_id=base.member.daemon_id,
            incarnation=base.member.incarnation,
            store=base.store,
            object_store=base.object_store,
            client=self.worker_client,
            clock=base.clock,
            members=base.membership,
            network=base.network,
            scheduler=FlushScheduler(base.clock, journal),
            settings=PartitionSettingsSet(
                journal,
                settings.get(PlacementSettings),
                settings.get(WorkerSettings),
                settings.get(PartitionSettings),
                settings.get(QuotaSettings),
            ),
            state_factories=state_factories,
            observe_waiting=self._observe_waiting,
        )

    def _ownership(
        self,
        base: Foundation,
        stop_daemon: Callable[[], None],
    ) -> OwnershipManager:
        settings = base.settings.get(OwnershipSettings)
        view = FleetView(
            base.own_row,
            base.table,
            base.membership,
            self.directory,
            settings,
        )
        listener = ReplacedListener(self.partitions, stop_daemon)
        return OwnershipManager(
            base.store,
            base.clock,
            view,
            settings,
            listener,
        )

    def _observe_waiting(
        self,
        department: DepartmentName,
        waiting_ms: int,
    ) -> None:
        self.metrics.observe(department, Indicator.waiting, waiting_ms)

    def _give_up(self, partition_id: PartitionId) -> None:
        drop = asyncio.create_task(self.ownership.drop(partition_id))
        self._drops.add(drop)
        drop.add_done_callback(self._drops.discard)


__all__ = ('Control',)
