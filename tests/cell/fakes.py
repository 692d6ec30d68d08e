"""In-memory store, targets and advice for tests of the cell."""

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
from radishlift.cell.tables import CANCELS, JOBS, entry_share
from radishlift.core.errors import ErrorKind, Failure
from radishlift.services.api import Row
from radishlift.steps.endings import EndKind
from radishlift.steps.ids import Life
from tests.standins.tables import Fault, MemoryTableStore, Tables

UNKNOWN = Failure(ErrorKind.target_outcome_unknown, 'no answer')
DOWN = Failure(ErrorKind.store_unavailable, 'down')


class MemoryCellStore(MemoryTableStore):
    """A store whose tables can be followed."""

    def __init__(self, tables: Tables | None = None) -> None:
        super().__init__(tables)
        self.is_history_dropped = False
        self.is_deaf = False
        self.asked_waits_ms = []

    async def commit(self, transaction):
        shares = {
            entry_share(one.key)
            for one in (*transaction.conditions, *transaction.writes)
            if one.table in {JOBS, CANCELS}
        }
        assert len(shares) < 2, 'a transaction covers one share'
        return await super().commit(transaction)

    async def snapshot(self, table: str) -> ChangedRows | Failure:
        if self.fault is Fault.down:
            return DOWN
        rows = self.tables.scan(table, '', '', 10_000)
        return ChangedRows(rows, self._version())

    async def changes(
        self, table: str, after_version: int, wait_ms: int
    ) -> ChangedRows | Failure:
        self.asked_waits_ms.append(wait_ms)
        if self.is_deaf:
            # Changes do not end the wait.
            await asyncio.sleep(wait_ms / 1000)
        async with asyncio.timeout(wait_ms / 1000 + 1):
            for _ in range(max(1, wait_ms // 5)):
                if self.fault is Fault.down:
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
        return sum(len(one.writes) for one in self.tables.history)


@dataclass
class FakeTarget:
    """A target that runs what it is told until a test ends it."""

    life: int = 1
    fence: int = 0
    clock_ms: int = 1000
    is_silent: bool = False
    loses_answers: bool = False
    refusal: StartVerdict | None = None
    running: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    barred: dict = field(default_factory=dict)
    started: list = field(default_factory=list)
    late: list = field(default_factory=list)
    until_ms: int = 0
    numbers: int = 0

    def end(self, key, how: EndKind, checkpoint: str = '') -> None:
        attempt = self.running.pop(key)
        self.numbers += 1
        self.barred[key] = attempt
        self.ended.append(
            EndedAttempt(self.numbers, key, attempt, how, checkpoint)
        )

    def run(self, order: StartOrder) -> StartVerdict:
        if order.fence < self.fence:
            return StartVerdict.fenced
        self.fence = order.fence
        if self.refusal is not None:
            return self.refusal
        if order.attempt <= self.barred.get(order.key, 0):
            return StartVerdict.superseded
        if self.running.get(order.key) != order.attempt:
            self.running[order.key] = order.attempt
            self.started.append(order)
        return StartVerdict.started


class FakeTargets:
    """Calls of all targets, by id."""

    def __init__(self, *names: str) -> None:
        self.by_id = {name: FakeTarget() for name in names}

    def __getitem__(self, name: str) -> FakeTarget:
        return self.by_id[name]

    def placed(self) -> dict:
        return {
            key: name
            for name, target in self.by_id.items()
            for key in target.running
        }

    async def start(self, target: TargetRef, order: StartOrder):
        fake = self.by_id[target.target_id]
        await asyncio.sleep(0)
        if fake.is_silent:
            fake.late.append(order)
            return UNKNOWN
        verdict = fake.run(order)
        return UNKNOWN if fake.loses_answers else verdict

    async def stop(self, target: TargetRef, key, attempt: int, fence):
        fake = self.by_id[target.target_id]
        await asyncio.sleep(0)
        if fake.is_silent:
            return UNKNOWN
        if fence < fake.fence:
            return StartVerdict.fenced
        fake.fence = fence
        fake.barred[key] = max(attempt, fake.barred.get(key, 0))
        if fake.running.get(key) == attempt:
            fake.end(key, EndKind.stopped, 'saved')
        return StartVerdict.started

    async def hold(self, target: TargetRef, order: HoldOrder):
        fake = self.by_id[target.target_id]
        await asyncio.sleep(0.002)
        if fake.is_silent:
            return UNKNOWN
        if order.fence < fake.fence:
            return StartVerdict.fenced
        fake.fence = order.fence
        fake.until_ms = max(fake.until_ms, order.until_ms or 0)
        fake.ended = [
            one for one in fake.ended if one.number > order.ended_cursor
        ]
        for _ in range(min(order.wait_ms, 40) // 4):
            if fake.ended or fake.is_silent:
                break
            await asyncio.sleep(0.004)
        running = tuple(
            RunningAttempt(key, attempt, '')
            for key, attempt in fake.running.items()
        )
        last = max((one.number for one in fake.ended), default=0)
        return HoldReport(
            fake.clock_ms, Life(fake.life), running, tuple(fake.ended), last
        )


class FakeAdvice:
    """Allows all targets but those that a test forbids."""

    def __init__(self) -> None:
        self.asked = []
        self.forbidden = set()

    async def command_all(self, key, target_ids, timeout_ms: int):
        self.asked.append((key, target_ids))
        return AdviceAnswer(
            tuple(
                (one, f'{key}@{one}')
                for one in target_ids
                if one not in self.forbidden
            ),
            2000,
        )
