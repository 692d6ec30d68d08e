"""In-memory store, targets and advice service for tests of the cell."""

import asyncio
from dataclasses import dataclass, field

from radishlift.cell.ports import (
    AdviceAnswer,
    ChangedRows,
    EndedAttempt,
    HoldOrder,
    HoldReport,
    RunningAttempt,
    StartOrder,
    StartVerdict,
    TargetRef,
)
from radishlift.cell.tables import CANCELS, JOBS, entry_shard
from radishlift.core.errors import ErrorKind, Failure, TimedOut
from radishlift.services.api import Row
from radishlift.steps.endings import EndKind
from radishlift.steps.ids import TargetIncarnation
from tests.standins.tables import Fault, MemoryTableStore, Tables

SILENT = TimedOut(ErrorKind.target_outcome_unknown, 'no answer in time')
UNKNOWN = Failure(ErrorKind.target_outcome_unknown, 'no answer')
UNREACHABLE = Failure(ErrorKind.peer_unavailable, 'not connected')
DOWN = Failure(ErrorKind.store_unavailable, 'down')


class MemoryCellStore(MemoryTableStore):
    """An in-memory store whose tables can be followed."""

    def __init__(self, tables: Tables | None = None) -> None:
        super().__init__(tables)
        self.is_history_dropped = False
        self.ignores_changes = False
        self.rejects_commits = False
        self.unreadable_tables = set()
        self.requested_waits_ms = []

    async def commit(self, transaction):
        if self.rejects_commits:
            return DOWN
        shards = {
            entry_shard(row.key)
            for row in (*transaction.conditions, *transaction.writes)
            if row.table in {JOBS, CANCELS}
        }
        assert len(shards) < 2, 'a transaction covers one shard'
        return await super().commit(transaction)

    async def probe(self, timeout_ms: int, parts_count: int) -> Failure | None:
        return DOWN if self.fault is Fault.down else None

    def notify_received(self, callback):
        self.on_received = callback

    async def snapshot(self, table, partial=None):
        if self.fault is Fault.down or table in self.unreadable_tables:
            return DOWN
        rows = self.tables.scan(table, '', '', 10_000)
        return ChangedRows(rows, self._version())

    async def changes(
        self, table: str, after_version: int, wait_ms: int
    ) -> ChangedRows | Failure:
        self.requested_waits_ms.append(wait_ms)
        if self.ignores_changes:
            # Changes do not end the wait of this call.
            await asyncio.sleep(wait_ms / 1000)
        async with asyncio.timeout(wait_ms / 1000 + 1):
            for _ in range(max(1, wait_ms // 5)):
                if self.fault is Fault.down or table in self.unreadable_tables:
                    return DOWN
                if self.is_history_dropped:
                    self.is_history_dropped = False
                    return Failure(ErrorKind.not_found, 'dropped')
                rows = self._log(table, after_version)
                if rows:
                    return ChangedRows(tuple(rows), rows[-1].version)
                await asyncio.sleep(0.005)
        return ChangedRows((), after_version)

    def _log(self, table: str, after: int) -> list[Row]:
        rows = []
        version = 0
        for transaction in self.tables.history:
            for write in transaction.writes:
                version += 1
                if write.table == table and version > after:
                    rows.append(Row(table, write.key, version, write.value))
        return rows

    def _version(self) -> int:
        return sum(
            len(transaction.writes) for transaction in self.tables.history
        )


@dataclass
class FakeTarget:
    """A target that runs tasks until a test ends them.

    With `instant_end` they end as soon as they start. With `keeps_stopped`
    stops take until a test ends the tasks. With `is_replaced` a process with
    another id has its address, and with `has_left` no process has. With
    `is_cut_off` the network rejects connections to it. Calls that get no answer
    because of `is_unresponsive` fail after `timeout_s`. Lists have at most
    `page_ends` ended attempts.
    """

    incarnation: int = 1
    fencing_token: int = 0
    clock_ms: int = 1000
    is_unresponsive: bool = False
    timeout_s: float = 0.0
    refuses_connections: bool = False
    is_replaced: bool = False
    has_left: bool = False
    is_cut_off: bool = False
    page_ends: int = 500
    loses_answers: bool = False
    rejection: StartVerdict | None = None
    instant_end: EndKind | None = None
    keeps_stopped: bool = False
    running: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    blocked: dict = field(default_factory=dict)
    started: list = field(default_factory=list)
    attempted: list = field(default_factory=list)
    stops_count: int = 0
    late: list = field(default_factory=list)
    until_ms: int = 0
    ended_count: int = 0
    holds_count: int = 0

    def restart(self) -> None:
        """Starts the process anew under the same id."""
        self.incarnation += 1
        self.fencing_token = 0
        self.clock_ms = 10
        self.until_ms = 0
        self.ended_count = 0
        for container in (self.running, self.ended, self.blocked):
            container.clear()

    def end(self, key, kind: EndKind, checkpoint: str = '') -> None:
        attempt = self.running.pop(key)
        self.ended_count += 1
        self.blocked[key] = attempt
        self.ended.append(
            EndedAttempt(self.ended_count, key, attempt, kind, checkpoint)
        )

    def leave(self) -> None:
        """Ends the process for good."""
        self.has_left = True
        self.running.clear()

    def run(self, order: StartOrder) -> StartVerdict:
        if order.fencing_token < self.fencing_token:
            return StartVerdict.fenced
        self.fencing_token = order.fencing_token
        if self.rejection is not None:
            return self.rejection
        if order.attempt <= self.blocked.get(order.key, 0):
            return StartVerdict.superseded
        if self.running.get(order.key) != order.attempt:
            self.running[order.key] = order.attempt
            self.started.append(order)
            if self.instant_end is not None:
                self.end(order.key, self.instant_end)
        return StartVerdict.started


class FakeTargets:
    """All targets by id, and calls to them."""

    def __init__(self, *names: str) -> None:
        self.by_id = {name: FakeTarget() for name in names}
        self.crashing = set()
        self.crashed = []
        self.restart_s = 0.05
        self.answer_s = 0.0

    def __getitem__(self, name: str) -> FakeTarget:
        return self.by_id[name]

    def running_tasks(self) -> dict:
        return {
            key: name
            for name, target in self.by_id.items()
            for key in target.running
        }

    async def start(self, target: TargetRef, order: StartOrder):
        fake = self.by_id[target.target_id]
        fake.attempted.append(order)
        await asyncio.sleep(0)
        if fake.has_left or fake.is_cut_off:
            return UNREACHABLE
        if fake.refuses_connections:
            return UNREACHABLE
        if fake.is_replaced:
            # Answers on different connections overtake each other.
            await asyncio.sleep(0.02)
            return StartVerdict.other_process
        if fake.is_unresponsive:
            fake.late.append(order)
            await asyncio.sleep(fake.timeout_s)
            return UNKNOWN
        if order.key in self.crashing:
            self.crashed.append((target.target_id, order.key))
            self.crash(fake)
            return UNKNOWN
        verdict = fake.run(order)
        if self.answer_s:
            await asyncio.sleep(self.answer_s)
        return UNKNOWN if fake.loses_answers else verdict

    def crash(self, fake: FakeTarget) -> None:
        """Ends a target's process; another one starts after `restart_s`.

        None starts if it is None.
        """
        fake.restart()
        fake.is_unresponsive = True
        if self.restart_s is None:
            return
        asyncio.get_running_loop().call_later(
            self.restart_s, setattr, fake, 'is_unresponsive', False
        )

    async def stop(self, target: TargetRef, key, attempt: int, fencing_token):
        fake = self.by_id[target.target_id]
        fake.stops_count += 1
        await asyncio.sleep(0)
        if fake.has_left or fake.is_cut_off:
            return UNREACHABLE
        if fake.is_unresponsive:
            await asyncio.sleep(fake.timeout_s)
            return UNKNOWN
        if fencing_token < fake.fencing_token:
            return StartVerdict.fenced
        fake.fencing_token = fencing_token
        fake.blocked[key] = max(attempt, fake.blocked.get(key, 0))
        if fake.running.get(key) == attempt and not fake.keeps_stopped:
            fake.end(key, EndKind.stopped, 'saved')
        return StartVerdict.started

    async def hold(self, target: TargetRef, order: HoldOrder):
        fake = self.by_id[target.target_id]
        await asyncio.sleep(0.002)
        if fake.has_left or fake.is_cut_off:
            return UNREACHABLE
        if fake.is_replaced:
            return StartVerdict.other_process
        if fake.is_unresponsive:
            await asyncio.sleep(fake.timeout_s)
            return UNKNOWN
        if order.fencing_token < fake.fencing_token:
            return StartVerdict.fenced
        fake.fencing_token = order.fencing_token
        fake.until_ms = max(fake.until_ms, order.until_ms or 0)
        fake.ended = [
            ended for ended in fake.ended if ended.sequence > order.ended_cursor
        ]
        for _ in range(min(order.wait_ms, 40) // 4):
            if fake.ended or fake.is_unresponsive or fake.has_left:
                break
            await asyncio.sleep(0.004)
        fake.holds_count += 1
        running = tuple(
            RunningAttempt(key, attempt, '')
            for key, attempt in fake.running.items()
        )
        ended = tuple(fake.ended[: fake.page_ends])
        return HoldReport(
            fake.clock_ms,
            TargetIncarnation(fake.incarnation),
            running,
            ended,
            ended[-1].sequence if ended else 0,
            has_all_ended=len(ended) < fake.page_ends,
        )


class FakeAdvice:
    """An advice service that allows all targets except forbidden ones."""

    def __init__(self) -> None:
        self.requests = []
        self.forbidden = set()

    async def request(self, key, target_ids, timeout_ms: int):
        self.requests.append((key, target_ids))
        return AdviceAnswer(
            tuple(
                (target_id, f'{key}@{target_id}')
                for target_id in target_ids
                if target_id not in self.forbidden
            ),
            2000,
        )
