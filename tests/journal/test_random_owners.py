import asyncio
from collections.abc import Generator
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, Epoch, Incarnation
from radishlift.journal.partition_journal import PartitionJournal
from radishlift.journal.recovery import recover
from radishlift.journal.snapshot_writer import SnapshotWriter
from radishlift.ownership.api import OWNERS_TABLE, OwnerClaim
from radishlift.ownership.owner_rows import (
    OwnerRow,
    parse_owner,
    replace_owner,
)
from tests.journal import protocol
from tests.journal.states import PARTITION, NumberList, NumberRecord
from tests.standins.tables import Fault, MemoryTableStore

FAULTS = st.sampled_from(
    [*Fault, Fault.none, Fault.none, Fault.none, Fault.none]
)
STEPS = st.lists(
    st.tuples(st.sampled_from([0, 0, 0, 1, 1, 1, 2]), FAULTS),
    min_size=40,
    max_size=200,
)


class PausingStore(MemoryTableStore):
    """Yields to the other owner before and after each operation."""

    async def read(self, *key: str) -> Any:
        await asyncio.sleep(0)
        return await super().read(*key)

    async def scan(self, *query: Any) -> Any:
        await asyncio.sleep(0)
        return await super().scan(*query)

    async def commit(self, transaction: Any) -> Any:
        await asyncio.sleep(0)
        outcome = await super().commit(transaction)
        await asyncio.sleep(0)
        return outcome


class RandomWorld(protocol.World):
    """Two concurrent owners that are advanced one step at a time."""

    def __init__(self) -> None:
        super().__init__(())
        for owner in self.owners:
            owner.store = PausingStore(self.tables)

    def run_steps(self, steps: list[tuple[int, Fault]]) -> None:
        runs: list[Generator] = [self._run_owner(0), self._run_owner(1)]
        for index, fault in steps:
            if index == 2:
                self.act('late', 0)
                continue
            self.owners[index].store.fault = fault
            runs[index].send(None)
            self.late_requests.extend(self.owners[index].store.lost_requests)
            self.owners[index].store.lost_requests.clear()
        for owner_run in runs:
            owner_run.close()

    async def _run_owner(self, index: int) -> None:
        while True:
            self.current[index] = None
            claim = await self._claim(index)
            if claim is not None:
                await self._own(index, claim)
            await asyncio.sleep(0)

    async def _claim(self, index: int) -> OwnerClaim | None:
        store = self.owners[index].store
        row = await store.read(OWNERS_TABLE, PARTITION)
        if isinstance(row, Failure):
            return None
        current = parse_owner(row)
        wanted = OwnerRow(
            DaemonId(f'd{index}'),
            Incarnation('1'),
            Epoch(current.row.epoch + 1),
        )
        taken = await replace_owner(store, current, wanted, 2)
        if isinstance(taken, Failure) or taken.row != wanted:
            return None
        return taken.claim

    async def _own(self, index: int, claim: OwnerClaim) -> None:
        owner, state = self.owners[index], NumberList()
        recovered = await recover(owner.store, self.objects, PARTITION, [state])
        if isinstance(recovered, Failure):
            assert recovered.kind is not ErrorKind.internal, recovered
            return
        dump = protocol.make_dump(state)
        journal = PartitionJournal(
            owner.store, claim, recovered, owner.settings, dump
        )
        snapshot_writer = SnapshotWriter(
            owner.store, self.objects, claim, owner.settings
        )
        ownership = protocol.Ownership(journal, list(state.numbers))
        self.current[index] = ownership
        self.ownerships.append(ownership)
        while not self._is_closed(journal):
            for _ in range(2):
                record = NumberRecord(next(self._numbers))
                ownership.positions[record.number] = journal.append(record)
                state.apply(record)
            await journal.flush()
            captured = journal.pop_captured_state()
            if captured is not None:
                snapshot_writer.set_next_state(captured)
            await snapshot_writer.step(9)

    def _is_closed(self, journal: PartitionJournal) -> bool:
        refusal = journal.refusal()
        return refusal is not None and refusal.kind is ErrorKind.not_owner


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(STEPS)
def test_acknowledged_records_are_recovered_once_and_in_order(steps):
    """Guards against an interleaving that loses or repeats a record."""
    world = RandomWorld()
    world.run_steps(steps)
    world.check()
