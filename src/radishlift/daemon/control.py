"""Configuration, ownership and partitions of a daemon."""

import asyncio
from collections.abc import Callable

from radishlift.config.distributor import ConfigDistributor
from radishlift.config.settings import ConfigSettings
from radishlift.config.store import ConfigStore
from radishlift.core.ids import DepartmentName, PartitionId
from radishlift.daemon.foundation import Foundation
from radishlift.daemon.owner_events import ReplacedListener
from radishlift.journal.budget import FlushScheduler
from radishlift.journal.settings import JournalSettings
from radishlift.ownership.cell_level import CellLevel
from radishlift.ownership.directory import OwnerDirectory
from radishlift.ownership.fleet_view import FleetView
from radishlift.ownership.homes_loader import HomesLoader
from radishlift.ownership.manager import OwnershipManager
from radishlift.ownership.settings import OwnershipSettings
from radishlift.partitions.partitions import Partitions
from radishlift.partitions.parts import DaemonParts, PartitionSettingsSet
from radishlift.partitions.states import StateFactory
from radishlift.report.keeper import CountsKeeper
from radishlift.report.metrics import Indicator, MetricsTable
from radishlift.report.settings import ReportSettings
from radishlift.workers.client import WorkerClient
from radishlift.workers.settings import WorkerSettings


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
        self.config = ConfigDistributor(
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
        self.worker_client = WorkerClient(
            settings.get(WorkerSettings),
            base.hosts.knowledge,
        )
        self.parts = self._parts(base, state_factories)
        self.partitions = Partitions(
            self.parts,
            self.config,
            self._give_up,
            decline=self._decline,
        )
        base.hosts.subscribe(self.partitions.update_hosts)
        self.ownership = self._ownership(base, stop_daemon)
        base.membership.subscribe(self.ownership.notify)
        self._drops: set[asyncio.Task[None]] = set()

    def _parts(
        self,
        base: Foundation,
        state_factories: tuple[StateFactory, ...],
    ) -> DaemonParts:
        settings = base.settings
        scheduler = FlushScheduler(base.clock, settings.get(JournalSettings))
        return DaemonParts(
            daemon_id=base.member.daemon_id,
            incarnation=base.member.incarnation,
            store=base.store,
            object_store=base.object_store,
            client=self.worker_client,
            clock=base.clock,
            members=base.membership,
            network=base.network,
            scheduler=scheduler,
            settings=PartitionSettingsSet.from_settings(settings),
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
        self.view = view
        self.cell_level = CellLevel(view, base.clock, settings)
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
        self._keep(asyncio.create_task(self.ownership.drop(partition_id)))

    def _decline(self, partition_id: PartitionId) -> None:
        self._keep(asyncio.create_task(self.ownership.decline(partition_id)))

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._drops.add(task)
        task.add_done_callback(self._drops.discard)


__all__ = ('Control',)
