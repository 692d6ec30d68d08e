"""Configuration, partition ownership and partitions of a daemon."""

import asyncio
from collections.abc import Callable

from radishlift.config.distributor import ConfigDistributor
from radishlift.config.settings import ConfigSettings
from radishlift.config.store import ConfigStore
from radishlift.core.ids import DepartmentName, PartitionId
from radishlift.daemon.context import DaemonContext
from radishlift.daemon.owner_events import PartitionOwnershipListener
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
from radishlift.report.counts_writer import CountsWriter
from radishlift.report.metrics import Indicator, MetricsTable
from radishlift.report.settings import ReportSettings
from radishlift.workers.client import WorkerClient
from radishlift.workers.settings import WorkerSettings


class ControlPlane:
    """Builds the components that decide which partitions this daemon owns."""

    def __init__(
        self,
        context: DaemonContext,
        state_factories: tuple[StateFactory, ...],
        stop_daemon: Callable[[], None],
    ) -> None:
        settings = context.settings
        config_settings = settings.get(ConfigSettings)
        self.config_store = ConfigStore(
            context.store,
            config_settings,
            context.clock,
        )
        self.config = ConfigDistributor(
            context.store,
            self.config_store,
            context.network,
            context.membership,
            config_settings,
            context.clock,
        )
        self.metrics = MetricsTable(
            self.config,
            settings.get(ReportSettings),
            context.clock,
        )
        self.counts = CountsWriter(
            self.metrics,
            context.object_store,
            context.clock,
            context.member.daemon_id,
            settings.get(ReportSettings),
        )
        self.homes_loader = HomesLoader(
            context.store,
            self.config,
            context.clock,
        )
        self.directory = OwnerDirectory(self.config, self.homes_loader.homes)
        self.worker_client = WorkerClient(
            settings.get(WorkerSettings),
            context.hosts.knowledge,
        )
        self.parts = self._build_parts(context, state_factories)
        self.partitions = Partitions(
            self.parts,
            self.config,
            self._drop_partition,
            decline=self._decline_partition,
        )
        context.hosts.subscribe(self.partitions.update_hosts)
        self.ownership = self._build_ownership(context, stop_daemon)
        context.membership.subscribe(self.ownership.notify)
        self._ownership_tasks: set[asyncio.Task[None]] = set()

    def _build_parts(
        self,
        context: DaemonContext,
        state_factories: tuple[StateFactory, ...],
    ) -> DaemonParts:
        settings = context.settings
        scheduler = FlushScheduler(context.clock, settings.get(JournalSettings))
        return DaemonParts(
            daemon_id=context.member.daemon_id,
            incarnation=context.member.incarnation,
            store=context.store,
            object_store=context.object_store,
            client=self.worker_client,
            clock=context.clock,
            members=context.membership,
            network=context.network,
            scheduler=scheduler,
            settings=PartitionSettingsSet.from_settings(settings),
            state_factories=state_factories,
            observe_waiting=self._observe_waiting,
        )

    def _build_ownership(
        self,
        context: DaemonContext,
        stop_daemon: Callable[[], None],
    ) -> OwnershipManager:
        settings = context.settings.get(OwnershipSettings)
        view = FleetView(
            context.own_row,
            context.table,
            context.membership,
            self.directory,
            settings,
        )
        self.view = view
        self.cell_level = CellLevel(view, context.clock, settings)
        listener = PartitionOwnershipListener(self.partitions, stop_daemon)
        return OwnershipManager(
            context.store,
            context.clock,
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

    def _drop_partition(self, partition_id: PartitionId) -> None:
        self._track_task(asyncio.create_task(self.ownership.drop(partition_id)))

    def _decline_partition(self, partition_id: PartitionId) -> None:
        self._track_task(
            asyncio.create_task(self.ownership.decline(partition_id))
        )

    def _track_task(self, task: asyncio.Task[None]) -> None:
        self._ownership_tasks.add(task)
        task.add_done_callback(self._ownership_tasks.discard)


__all__ = ('ControlPlane',)
