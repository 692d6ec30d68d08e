"""Dependencies that a daemon passes to each partition that it runs."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from radishlift.core.clock import Clock
from radishlift.core.ids import DaemonId, DepartmentName, Incarnation
from radishlift.journal.budget import FlushScheduler
from radishlift.journal.settings import JournalSettings
from radishlift.membership.api import MemberDirectory
from radishlift.partitions.settings import PartitionSettings
from radishlift.partitions.states import StateFactory
from radishlift.placement.settings import PlacementSettings
from radishlift.quotas.settings import QuotaSettings
from radishlift.services.api import ObjectStore, TableStore
from radishlift.settings.loader import Settings
from radishlift.wire.network import PeerNetwork
from radishlift.workers.client import WorkerClient
from radishlift.workers.settings import WorkerSettings

WaitingObserver = Callable[[DepartmentName, int], None]


def _ignore_waiting(department: DepartmentName, waiting_ms: int) -> None:
    """Ignores waiting times; the default observer."""


@dataclass(frozen=True, slots=True)
class PartitionSettingsSet:
    """The sections of the settings that concern a partition."""

    journal: JournalSettings = field(default_factory=JournalSettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    workers: WorkerSettings = field(default_factory=WorkerSettings)
    partitions: PartitionSettings = field(default_factory=PartitionSettings)
    quotas: QuotaSettings = field(default_factory=QuotaSettings)

    @classmethod
    def from_settings(cls, settings: Settings) -> 'PartitionSettingsSet':
        """Selects the sections from the settings of a daemon."""
        return cls(
            settings.get(JournalSettings),
            settings.get(PlacementSettings),
            settings.get(WorkerSettings),
            settings.get(PartitionSettings),
            settings.get(QuotaSettings),
        )


@dataclass(frozen=True, slots=True)
class DaemonParts:
    """Identity, clients and settings of the daemon, shared by its partitions.

    `activity` is set when a partition has work for its next tick.
    `observe_waiting` is called with the time in ms from the acceptance of a
    task to its first start.
    """

    daemon_id: DaemonId
    incarnation: Incarnation
    store: TableStore
    object_store: ObjectStore
    client: WorkerClient
    clock: Clock
    members: MemberDirectory
    network: PeerNetwork
    scheduler: FlushScheduler
    settings: PartitionSettingsSet = field(default_factory=PartitionSettingsSet)
    activity: asyncio.Event = field(default_factory=asyncio.Event)
    state_factories: tuple[StateFactory, ...] = ()
    observe_waiting: WaitingObserver = _ignore_waiting


__all__ = ('DaemonParts', 'PartitionSettingsSet', 'WaitingObserver')
