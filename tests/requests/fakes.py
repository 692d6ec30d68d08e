"""Fakes of the dependencies of request handling."""

import asyncio
from dataclasses import dataclass, field

from radishlift.config.document import ConfigDocument, Department, Service
from radishlift.core.clock import Clock, ManualClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import (
    Address,
    ConfigVersion,
    DaemonId,
    DataCentreId,
    DepartmentName,
    ExecutorId,
    Incarnation,
    RackId,
    ServiceName,
)
from radishlift.membership.api import Member
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_rows import SlotOwner
from radishlift.requests.slots import SlotAllotments, SlotParts
from radishlift.requests.targets import TargetList
from radishlift.services.api import Host, HostRole, HostState
from radishlift.services.host_knowledge import HostKnowledge
from tests.standins.tables import MemoryTableStore

SERVICE = ServiceName('rugdesk')
DEPARTMENT = DepartmentName('depot')
SLOTS_COUNT = 8
MAX_DEADLINE_MS = 2_000


@dataclass
class FakeConfig:
    """A configuration document with one service."""

    service: Service = field(
        default_factory=lambda: Service(
            DEPARTMENT,
            max_deadline_ms=MAX_DEADLINE_MS,
            default_deadline_ms=1_000,
            urgent_classes=('clinic', 'pickup'),
        )
    )

    def current(self) -> ConfigDocument | None:
        return ConfigDocument(
            ConfigVersion(1),
            departments={DEPARTMENT: Department()},
            services={SERVICE: self.service},
        )


class FakeHosts:
    """A host list that tests can change."""

    def __init__(self, executors=()) -> None:
        self.states = dict.fromkeys(executors, HostState.live)
        self.is_down = False

    async def fetch(self):
        if self.is_down:
            return Failure(ErrorKind.store_unavailable, 'down')
        return tuple(
            Host(
                Address(address),
                state,
                HostRole.executor,
                RackId(''),
                DataCentreId('umlazi'),
                SERVICE,
            )
            for address, state in self.states.items()
        )


class DaemonHostList:
    """The host list as one daemon reads it."""

    def __init__(self, hosts, knowledge, clock) -> None:
        self.hosts = hosts
        self.knowledge = knowledge
        self.clock = clock

    async def fetch(self):
        sent_at_ms = self.clock.monotonic_ms()
        hosts = await self.hosts.fetch()
        if not isinstance(hosts, Failure):
            leaving = [
                host.address
                for host in hosts
                if host.state is HostState.leaving
            ]
            self.knowledge.update(leaving, sent_at_ms)
        return hosts


class FakeMembers:
    """Members whose death is set by tests.

    Connections to `refused` members are refused, which makes them dead.
    """

    def __init__(self) -> None:
        self.dead: set[tuple[str, str]] = set()
        self.refused: set[tuple[str, str]] = set()
        self.known: dict[DaemonId, Incarnation] = {}

    def members(self):
        nowhere = Address('127.0.0.1:1')
        return tuple(
            Member(daemon_id, incarnation, nowhere, nowhere, DataCentreId(''))
            for daemon_id, incarnation in self.known.items()
        )

    def is_suspected(self, daemon_id) -> bool:
        return daemon_id not in self.known

    def is_dead(self, daemon_id, incarnation) -> bool:
        return (daemon_id, incarnation) in self.dead | self.refused

    def has_ended(self, daemon_id, incarnation) -> bool:
        return (daemon_id, incarnation) in self.dead


class DelayingStore(MemoryTableStore):
    """Lets other tasks run around each commit; can delay commits."""

    def __init__(self) -> None:
        super().__init__()
        self.is_delaying = False
        self.delayed = []

    async def commit(self, transaction):
        await asyncio.sleep(0)
        if self.is_delaying:
            self.delayed.append(transaction)
            return Failure(ErrorKind.store_outcome_unknown, 'delayed')
        outcome = await super().commit(transaction)
        await asyncio.sleep(0)
        return outcome

    def apply_delayed(self) -> None:
        for transaction in self.delayed:
            self.tables.commit(transaction)
        self.delayed = []


@dataclass
class Cell:
    """The state that the daemons of a test share."""

    store: MemoryTableStore = field(default_factory=DelayingStore)
    hosts: FakeHosts = field(default_factory=FakeHosts)
    members: FakeMembers = field(default_factory=FakeMembers)
    clock: Clock = field(default_factory=ManualClock)
    config: FakeConfig = field(default_factory=FakeConfig)
    settings: RequestSettings = field(
        default_factory=lambda: RequestSettings(
            sync_interval_ms=20,
            summary_interval_ms=20,
            targets_interval_ms=20,
            slot_writes_per_s=100,
            settle_margin_ms=0,
        )
    )
    host_list_limit_ms: int = 1_700

    def targets(self) -> TargetList:
        """Builds the target list of a daemon with its own reads."""
        knowledge = HostKnowledge(self.clock, self.host_list_limit_ms)
        hosts = DaemonHostList(self.hosts, knowledge, self.clock)
        return TargetList(hosts, knowledge, self.settings)

    def allotments(self, name: str, incarnation: str = '1') -> SlotAllotments:
        targets = self.targets()
        parts = SlotParts(
            self.store,
            self.members,
            targets,
            ServiceLimits(self.config),
            self.clock,
        )
        owner = SlotOwner(DaemonId(name), Incarnation(incarnation))
        slots = SlotAllotments(owner, parts, self.settings)
        slots.targets = targets
        return slots


def executor_ids(count: int) -> tuple[ExecutorId, ...]:
    return tuple(ExecutorId(f'127.0.0.1:{index}') for index in range(count))
