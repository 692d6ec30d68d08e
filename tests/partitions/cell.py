"""A cell in one process: owners, simulated workers and a table service.

Owners claim a partition by writing its owner row, as the ownership manager
does. Workers are reached over HTTP on loopback. Tests check the records that
the workers keep of their executions.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any

from radishlift.config.document import ConfigDocument, Partition
from radishlift.core.clock import BootClock
from radishlift.core.ids import (
    Address,
    ConfigVersion,
    DaemonId,
    DataCentreId,
    DepartmentName,
    Incarnation,
    JobId,
    PartitionId,
    RackId,
    ServiceName,
    TeamName,
)
from radishlift.journal.budget import FlushScheduler
from radishlift.journal.settings import JournalSettings
from radishlift.ownership.directory import OwnerDirectory
from radishlift.ownership.fixed_homes import JobHomes
from radishlift.partitions.gang_coordinator import GangCoordinator
from radishlift.partitions.gang_rounds import GangRounds
from radishlift.partitions.gang_server import GangServer
from radishlift.partitions.hand_offs import HandOffSender
from radishlift.partitions.homes import HomeCaller, OwnerLookup
from radishlift.partitions.job_router import JobRouter
from radishlift.partitions.job_server import JobServer
from radishlift.partitions.loads import LoadTable
from radishlift.partitions.partitions import Partitions
from radishlift.partitions.parts import DaemonParts, PartitionSettingsSet
from radishlift.partitions.settings import PartitionSettings
from radishlift.placement.jobs import JobKind, JobSpec, Resources
from radishlift.services.api import (
    Host,
    HostRole,
    HostState,
)
from radishlift.wire.network import PeerNetwork
from radishlift.workers.client import WorkerClient
from radishlift.workers.dispatcher import Dispatcher
from radishlift.workers.settings import WorkerSettings
from tests.config.head_rows import put_homes
from tests.partitions.owner import PARTITION, Config, Members, Owner
from tests.standins.checks import (
    WorkerRecord,
    overcommitted_workers,
    tasks_in_two_places,
)
from tests.standins.conditions import until
from tests.standins.knowledge import unexpiring_host_knowledge
from tests.standins.tables import MemoryObjectStore, MemoryTableStore
from tests.standins.worker import WorkerStandIn
from tests.standins.worker_model import WorkerOptions

OTHER_PARTITION = PartitionId('p2')
LEASE_MS = 500


def make_settings(**workers: int) -> PartitionSettingsSet:
    """Makes settings with short intervals and timeouts."""
    options = {
        'lease_ms': LEASE_MS,
        'report_interval_ms': 50,
        'idle_interval_ms': 50,
        'retry_interval_ms': 20,
        'timeout_ms': 200,
        'host_list_lag_ms': 0,
        **workers,
    }
    return PartitionSettingsSet(
        journal=JournalSettings(rows_per_s=1000, flush_interval_ms=2),
        workers=WorkerSettings(**options),
        partitions=PartitionSettings(
            tick_interval_ms=1,
            idle_interval_ms=20,
            recover_retry_ms=10,
            evidence_interval_ms=20,
            retry_interval_ms=10,
            call_timeout_ms=500,
            hand_off_interval_ms=20,
            gang_interval_ms=10,
            gang_backoff_ms=20,
            gang_hold_ms=500,
            rack_drain_ms=100,
            rack_checkpoint_ms=50,
            rack_poll_ms=10,
        ),
    )


def make_job(job_id: str = 'j1', **changes: Any) -> JobSpec:
    fields: dict[str, Any] = {
        'job_id': JobId(job_id),
        'department': DepartmentName('rugs'),
        'team': TeamName('wash'),
        'name': 'wash-batch',
        'kind': JobKind.batch,
        'task_count': 1,
        'demand': Resources(1_000, 2_000),
        'run_time_ms': 0,
        **changes,
    }
    return JobSpec(**fields)


class Cell:
    """The workers, platform services and owners of a test."""

    def __init__(self, settings: PartitionSettingsSet) -> None:
        self.settings = settings
        self.store = MemoryTableStore()
        self.objects = MemoryObjectStore()
        self.members = Members()
        self.workers: list[WorkerStandIn] = []
        self.owners: dict[str, Owner] = {}
        self.document = ConfigDocument(
            ConfigVersion(1),
            partitions={
                PARTITION: Partition(('r1',)),
                OTHER_PARTITION: Partition(('r2',)),
            },
        )
        self._addresses: dict[DaemonId, Address] = {}

    async def add_worker(self, **options: Any) -> WorkerStandIn:
        """Starts a worker and adds it to the host list."""
        worker = WorkerStandIn(WorkerOptions(**options))
        await worker.listen('127.0.0.1', 0)
        self.workers.append(worker)
        self.publish_hosts()
        return worker

    def publish_hosts(self) -> None:
        """Passes the host list to all owners."""
        for owner in self.owners.values():
            owner.partitions.update_hosts(self.hosts())

    def hosts(self) -> tuple[Host, ...]:
        """Lists the workers."""
        return tuple(
            Host(
                Address(worker.model.worker_id),
                HostState.live,
                HostRole.worker,
                RackId(worker.model.options.rack),
                DataCentreId('dc1'),
                ServiceName(''),
            )
            for worker in self.workers
        )

    async def add_owner(
        self,
        name: str,
        dispatcher_type: type[Dispatcher] = Dispatcher,
        store: MemoryTableStore | None = None,
    ) -> Owner:
        """Starts a daemon that owns nothing yet."""
        network = PeerNetwork(DaemonId(name))
        await network.start(Address('127.0.0.1:0'))
        port = network._server.sockets[0].getsockname()[1]
        self._addresses[DaemonId(name)] = Address(f'127.0.0.1:{port}')
        clock = BootClock()
        parts = DaemonParts(
            daemon_id=DaemonId(name),
            incarnation=Incarnation(f'{name}-1'),
            store=store or self.store,
            object_store=self.objects,
            client=WorkerClient(
                self.settings.workers,
                unexpiring_host_knowledge(),
            ),
            clock=clock,
            members=self.members,
            network=network,
            scheduler=FlushScheduler(clock, self.settings.journal),
            settings=self.settings,
        )
        config = Config(self.document)
        partitions = Partitions(parts, config, dispatcher_type=dispatcher_type)
        homes = JobHomes(parts.store, config)
        if not self.owners:
            put_homes(self.store.tables, *self.document.partitions)
        await homes.load()
        directory = OwnerDirectory(config, homes)
        lookup = OwnerLookup(directory, parts.store, clock)
        caller = HomeCaller(parts, lookup)
        loads = LoadTable(Random(name))
        JobServer(network, partitions, parts.store)
        rounds = GangRounds(parts, caller, lookup, loads)
        GangServer(partitions, rounds)
        gang_coordinator = GangCoordinator(partitions, caller, rounds)
        owner = Owner(
            name,
            parts.store,
            parts,
            partitions,
            asyncio.create_task(partitions.run_forever()),
            JobRouter(caller, lookup, loads),
            HandOffSender(
                partitions, caller, lookup, loads, self.settings.partitions
            ),
            gang_coordinator,
            config,
            lookup,
            [asyncio.create_task(gang_coordinator.run_forever())],
        )
        self.owners[name] = owner
        for other in self.owners.values():
            other.parts.network.set_peers(self._addresses)
        self.publish_hosts()
        return owner

    def records(self) -> list[WorkerRecord]:
        """Returns the records of all workers."""
        return [worker.worker_record() for worker in self.workers]

    def executions(self) -> int:
        """Counts the executions on all workers."""
        return sum(len(worker.model.record) for worker in self.workers)

    def running(self) -> int:
        """Counts the executions that have not ended."""
        return sum(
            execution.end_ms is None
            for record in self.records()
            for execution in record.executions
        )

    def check(self) -> None:
        """Checks the invariants against the records of the workers."""
        records = self.records()
        assert not tasks_in_two_places(records)
        assert not overcommitted_workers(records)

    async def close(self) -> None:
        """Stops all workers and owners."""
        for worker in self.workers:
            await worker.close()
        for owner in self.owners.values():
            await owner.kill()
            await owner.parts.client.close()


async def wait_for_reports(workers: list[WorkerStandIn], count: int) -> None:
    """Waits until each worker got `count` more requests for a report."""
    target_counts = {
        id(worker): worker.seen.count('/report') + count for worker in workers
    }
    await until(
        lambda: all(
            worker.seen.count('/report') >= target_counts[id(worker)]
            for worker in workers
        )
    )


@asynccontextmanager
async def open_cell(
    workers_count: int = 1, **workers: int
) -> AsyncIterator[Cell]:
    """Opens a cell with workers of one rack."""
    cell = Cell(make_settings(**workers))
    for _ in range(workers_count):
        await cell.add_worker()
    try:
        yield cell
    finally:
        await cell.close()


__all__ = (
    'LEASE_MS',
    'OTHER_PARTITION',
    'PARTITION',
    'Cell',
    'Owner',
    'make_job',
    'open_cell',
    'wait_for_reports',
)
