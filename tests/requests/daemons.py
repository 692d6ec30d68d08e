"""Several request routers in one process, connected over real streams."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from radishlift.core.clock import BootClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import (
    Address,
    DaemonId,
    Epoch,
    IdempotencyKey,
    Incarnation,
    PartitionId,
    RequestId,
)
from radishlift.journal.records import decode_record, encode_record
from radishlift.requests.api import ServiceRequest
from radishlift.requests.idempotency import IdempotencyTable
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.router import RequestRouter, RouterParts
from radishlift.requests.slot_rows import SlotOwner
from radishlift.requests.slots import SlotAllotments, SlotParts
from radishlift.requests.targets import TargetList
from radishlift.wire.network import PeerNetwork
from tests.requests.fakes import SERVICE, Cell, FakeHosts
from tests.standins.executor import ExecutorStandIn
from tests.standins.request_checks import Execution
from tests.standins.tables import Fault, MemoryTableStore

HOME = PartitionId('home')
WAIT_TIMEOUT_S = 10


class FakePartition:
    """A partition; its journal is a list that all its owners share."""

    def __init__(
        self,
        journal: list,
        epoch: int,
        current: dict,
        partition_id: PartitionId = HOME,
    ) -> None:
        self.partition_id = partition_id
        self.epoch = Epoch(epoch)
        self.table = IdempotencyTable()
        self.faults: list[Fault] = []
        self._journal = journal
        self._current = current
        for stored in journal:
            self.table.apply(decode_record(stored))

    def state(self, _state_type):
        return self.table

    async def commit(self, records, _timeout_ms):
        await asyncio.sleep(0)
        fault = self.faults.pop(0) if self.faults else Fault.none
        if fault is Fault.down:
            return Failure(ErrorKind.store_unavailable, 'down')
        if self._current['epoch'] != self.epoch:
            return Failure(ErrorKind.not_owner, 'deposed')
        for record in records:
            self._journal.append(encode_record(record))
            self.table.apply(record)
        if fault is Fault.lose_answers:
            return Failure(ErrorKind.store_outcome_unknown, 'answer lost')
        return None


class FakePartitions:
    """The partition that is the home of all keys, and its owner."""

    def __init__(self) -> None:
        self.journal: list = []
        self.current = {'epoch': 0}
        self.owner: DaemonId | None = None
        self.owned: dict[DaemonId, FakePartition] = {}

    def move_to(self, owner: str) -> FakePartition:
        """Moves the home to a new owner, which replays the journal."""
        self.current['epoch'] += 1
        self.owner = DaemonId(owner)
        epoch = self.current['epoch']
        partition = FakePartition(self.journal, epoch, self.current)
        self.owned[self.owner] = partition
        return partition

    def owner_of(self, _partition_id):
        return self.owner

    def home_of(self, _key):
        return HOME

    def get(self, daemon_id: DaemonId, _partition_id):
        return self.owned.get(daemon_id)

    def directory_of(self, _daemon_id: DaemonId):
        """Returns the partition directory of a daemon."""
        return self


@dataclass
class DaemonPartitions:
    """The partitions that one daemon owns."""

    partitions: FakePartitions
    daemon_id: DaemonId

    def get(self, partition_id):
        return self.partitions.get(self.daemon_id, partition_id)


@dataclass
class Daemon:
    """A request router with its network."""

    name: str
    router: RequestRouter
    network: PeerNetwork
    slots: SlotAllotments
    targets: TargetList

    async def kill(self) -> None:
        """Stops at once; requests in flight continue at their executors."""
        await self.router.stop()
        await self.network.stop()


@dataclass
class Fleet:
    """Daemons, executors and their shared state."""

    cell: Cell
    executors: list[ExecutorStandIn]
    addresses: dict[DaemonId, Address]
    daemons: dict[str, Daemon] = field(default_factory=dict)
    partitions: FakePartitions = field(default_factory=FakePartitions)

    @property
    def executions(self) -> list[Execution]:
        return [
            execution
            for executor in self.executors
            for execution in executor.executions
        ]

    async def start(self, name: str, incarnation: str = '1') -> Daemon:
        cell = self.cell
        daemon_id = DaemonId(name)
        network = PeerNetwork(daemon_id)
        network.set_peers(self.addresses)
        limits = ServiceLimits(cell.config)
        targets = cell.targets()
        parts = SlotParts(cell.store, cell.members, targets, limits, cell.clock)
        owner = SlotOwner(daemon_id, Incarnation(incarnation))
        cell.members.known[daemon_id] = owner.incarnation
        slots = SlotAllotments(owner, parts, cell.settings)
        router = RequestRouter(
            RouterParts(
                slots,
                parts,
                network,
                DaemonPartitions(self.partitions, daemon_id),
                self.partitions.directory_of(daemon_id),
            ),
            cell.settings,
        )
        await network.start(self.addresses[daemon_id])
        await router.start()
        daemon = Daemon(name, router, network, slots, targets)
        self.daemons[name] = daemon
        return daemon

    async def wait_for_slots(self, count: int) -> None:
        """Waits until all slots are allotted in about equal shares."""
        least_count = count // len(self.daemons) - 1

        def is_shared() -> bool:
            held = [
                daemon.slots.held_count(SERVICE)
                for daemon in self.daemons.values()
            ]
            return sum(held) == count and min(held) >= least_count

        await wait_until(is_shared)


async def wait_until(is_met) -> None:
    """Waits for a condition; raises `TimeoutError` after `WAIT_TIMEOUT_S`."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            if is_met():
                return
            await asyncio.sleep(0.005)


@asynccontextmanager
async def run_fleet(
    ports,
    names='ab',
    executors_count=2,
    service_ms=20,
    partitions=None,
    **cell,
):
    """Starts daemons and executors, and stops them afterwards."""
    executors = [
        ExecutorStandIn(f'127.0.0.1:{ports()}', {'': service_ms})
        for _ in range(executors_count)
    ]
    for executor in executors:
        await executor.start()
    shared = Cell(
        store=cell.pop('store', None) or MemoryTableStore(),
        hosts=FakeHosts([executor.address for executor in executors]),
        clock=BootClock(),
        **cell,
    )
    addresses = {DaemonId(n): Address(f'127.0.0.1:{ports()}') for n in names}
    fleet = Fleet(
        shared,
        executors,
        addresses,
        partitions=partitions or FakePartitions(),
    )
    fleet.partitions.move_to(names[-1])
    try:
        for name in names:
            await fleet.start(name)
        await fleet.wait_for_slots(executors_count * 8)
        yield fleet
    finally:
        for daemon in fleet.daemons.values():
            await daemon.kill()
        for executor in executors:
            await executor.stop()


def request(number, body=b'body', key='', **options) -> ServiceRequest:
    return ServiceRequest(
        SERVICE,
        RequestId(f'r{number}'),
        body,
        idempotency_key=IdempotencyKey(key),
        **options,
    )


async def send_all(daemons, numbers, **options):
    """Sends numbered requests concurrently, to the daemons in turn."""
    return await asyncio.gather(
        *(
            daemons[number % len(daemons)].router.handle(
                request(number, **options)
            )
            for number in numbers
        )
    )
