"""A cell for multi-partition gangs, with faults between the owners."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

from radishlift.config.document import Partition
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId, PartitionId
from radishlift.partitions.messages import JobStatus
from radishlift.placement.jobs import (
    JobKind,
    JobSpec,
    Resources,
    TaskState,
    job_id_of,
)
from tests.partitions.cell import Cell, Owner, make_job, open_cell
from tests.standins.checks import WorkerRecord
from tests.standins.conditions import until, until_after
from tests.standins.tables import MemoryTableStore

PARTITIONS = tuple(PartitionId(f'p{number}') for number in (1, 2, 3))
GANG = JobId('p1.gang')
# Each partition has one worker, which fits one task of this size.
WHOLE_WORKER = Resources(30_000, 2_000)


def make_gang(job_id: str = GANG, **changes: Any) -> JobSpec:
    """Makes a gang that needs all three partitions."""
    fields = {'task_count': len(PARTITIONS), **changes}
    return make_job(
        job_id,
        kind=JobKind.gang,
        demand=WHOLE_WORKER,
        **fields,
    )


class CallFilter:
    """Holds back or fails chosen calls of an owner.

    `held_calls` are the messages of calls that wait. `call_counts` counts all
    calls by the name of their message.
    """

    def __init__(self, owner: Owner) -> None:
        self.held_calls: list[Any] = []
        self.call_counts: dict[str, int] = defaultdict(int)
        self._call = owner.parts.network.call
        self._rules: dict[tuple[str, PartitionId], str] = {}
        self._changed = asyncio.Event()
        owner.parts.network.call = self._call_with_rules

    def hold(self, name: str, *partitions: PartitionId) -> None:
        """Holds back calls to partitions before they are sent."""
        self._set('hold', name, partitions)

    def hold_replies(self, name: str, *partitions: PartitionId) -> None:
        """Delivers calls and holds back their replies."""
        self._set('hold_reply', name, partitions)

    def cut(self, name: str, *partitions: PartitionId) -> None:
        """Fails calls as if the peer were unreachable."""
        self._set('cut', name, partitions)

    def clear_rules(self) -> None:
        """Delivers all calls, including those that wait."""
        self._rules.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def _set(
        self, rule: str, name: str, partitions: Iterable[PartitionId]
    ) -> None:
        for partition_id in partitions:
            self._rules[name, partition_id] = rule

    async def _call_with_rules(
        self, daemon_id: Any, message: Any, time_ms: int
    ) -> Any:
        name = type(message).__name__
        self.call_counts[name] += 1
        target = getattr(message, 'partition_id', PartitionId(''))
        rule = self._rules.get((name, target))
        if rule == 'cut':
            return Failure(ErrorKind.peer_unavailable, 'cut')
        if rule == 'hold':
            await self._wait(message)
        reply = await self._call(daemon_id, message, time_ms)
        if rule == 'hold_reply':
            await self._wait(message)
        return reply

    async def _wait(self, message: Any) -> None:
        self.held_calls.append(message)
        await self._changed.wait()


class GangCell:
    """Partitions with one worker and one daemon each."""

    def __init__(
        self, cell: Cell, store_type: type[MemoryTableStore] = MemoryTableStore
    ) -> None:
        self.cell = cell
        self._store_type = store_type
        self.owners: dict[PartitionId, Owner] = {}
        self.call_filters: dict[PartitionId, CallFilter] = {}

    @property
    def home(self) -> Owner:
        """The owner of the home of `GANG`."""
        return self.owners[PARTITIONS[0]]

    async def claim(self, partition_id: PartitionId, name: str) -> None:
        """Starts a daemon with its own connection to the table service."""
        store = self._store_type(self.cell.store.tables)
        owner = await self.cell.add_owner(name, store=store)
        self.owners[partition_id] = owner
        self.call_filters[partition_id] = CallFilter(owner)
        await owner.claim(partition_id)

    async def kill(self, partition_id: PartitionId) -> None:
        """Kills an owner and lets another daemon claim the partition."""
        previous = self.owners[partition_id]
        await previous.kill()
        self.cell.members.dead.add((previous.name, f'{previous.name}-1'))
        await self.claim(partition_id, f'{previous.name}x')

    async def exchange_loads(self) -> None:
        """Exchanges the load summaries, as heartbeats do."""
        for owner in self.owners.values():
            await owner.hand_off_sender.run_once()
        for owner in self.owners.values():
            for other in self.owners.values():
                loads = other.hand_off_sender._loads
                owner.hand_off_sender._loads.update_from_peer(loads.summary())

    async def until(self, condition: Any) -> None:
        """Waits for a condition while load summaries are exchanged."""
        await until_after(self.exchange_loads, condition)

    async def wait_until_ready(self) -> None:
        """Waits until all daemons know the workers and the loads."""
        await self.until(self._is_ready)
        await self.exchange_loads()

    async def submit(self, spec: JobSpec) -> None:
        """Submits a gang once all daemons know the loads."""
        await self.wait_until_ready()
        await self.home.router.submit(spec, 2_000)

    def reservations_count(self) -> int:
        """Counts the reservations in all partitions."""
        return sum(
            len(owner.partition(partition_id).states.placement.tables.holds)
            for partition_id, owner in self.owners.items()
        )

    def incarnation_in(self, partition_id: PartitionId) -> str:
        """Returns the incarnation of the worker of a partition."""
        partition = self.owners[partition_id].partition(partition_id)
        workers = partition.states.placement.tables.workers
        row = next(iter(workers.row_of.values()))
        return workers.worker_info[row].incarnation

    async def counts(self, job_id: JobId = GANG) -> dict[TaskState, int]:
        """Requests the task counts of a gang by state, in all parts."""
        status = await self.owners[PARTITIONS[1]].router.status(job_id, 2_000)
        return status.task_counts if isinstance(status, JobStatus) else {}

    async def until_counts(self, expected: dict[TaskState, int]) -> None:
        """Waits until the tasks of the gang have these states."""
        await self._until_status(lambda status: status == expected)

    async def until_finished(self, count: int) -> None:
        """Waits until some tasks of the gang have finished."""
        await self._until_status(
            lambda status: status.get(TaskState.finished) == count
        )

    async def check_runs_once(self) -> None:
        """Checks that the gang runs whole and once, without reservations."""
        await self.until(lambda: self.cell.running() == len(PARTITIONS))
        await until(lambda: not self.reservations_count())
        assert attempts_of(self.cell.records()) == {1: len(PARTITIONS)}
        self.cell.check()

    async def _until_status(self, is_expected: Any) -> None:
        status: dict[TaskState, int] = {}

        async def update_status() -> None:
            status.clear()
            status.update(await self.counts())
            await self.exchange_loads()

        await until_after(update_status, lambda: is_expected(status))

    def _is_ready(self) -> bool:
        return all(
            owner.partition(partition_id).engine.summarise_load().workers_count
            for partition_id, owner in self.owners.items()
        )


def attempts_of(
    records: Iterable[WorkerRecord], job_id: JobId = GANG
) -> dict[int, int]:
    """Counts the members of a gang that ran, by attempt.

    A gang that never ran partially has all members in each attempt.
    """
    counts: dict[int, int] = defaultdict(int)
    for record in records:
        for execution in record.executions:
            if job_id_of(execution.task_id) == job_id:
                counts[execution.attempt] += 1
    return dict(counts)


def set_partitions(cell: Cell, partitions: Iterable[PartitionId]) -> None:
    """Gives each partition the rack of its number."""
    cell.document = replace(
        cell.document,
        partitions={
            partition_id: Partition((f'r{partition_id[1:]}',))
            for partition_id in partitions
        },
    )


@asynccontextmanager
async def open_gang_cell() -> AsyncIterator[GangCell]:
    """Opens a cell with three partitions of one worker each.

    Leases are long enough not to expire on a busy machine.
    """
    async with open_cell(lease_ms=10_000) as cell:
        set_partitions(cell, PARTITIONS)
        await cell.add_worker(rack='r2')
        await cell.add_worker(rack='r3')
        gangs = GangCell(cell)
        for partition_id, name in zip(PARTITIONS, 'abc', strict=True):
            await gangs.claim(partition_id, name)
        yield gangs


__all__ = (
    'GANG',
    'PARTITIONS',
    'WHOLE_WORKER',
    'GangCell',
    'CallFilter',
    'attempts_of',
    'make_gang',
    'open_gang_cell',
    'set_partitions',
)
