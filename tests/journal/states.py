"""A journaled state for tests, with helpers to open and recover it."""

from dataclasses import dataclass
from typing import Any

from radishlift.core.ids import Epoch, PartitionId
from radishlift.journal.partition_journal import PartitionJournal
from radishlift.journal.records import record
from radishlift.journal.recovery import RecoveryResult, recover
from radishlift.journal.settings import JournalSettings
from radishlift.journal.snapshot_writer import SnapshotWriter
from radishlift.ownership.api import OWNERS_TABLE, OwnerClaim
from radishlift.services.api import Transaction, Write
from tests.standins.tables import MemoryObjectStore, MemoryTableStore

PARTITION = PartitionId('p1')


@record('test_noted')
@dataclass(frozen=True, slots=True)
class NumberRecord:
    number: int
    padding: str = ''


class NumberList:
    """Holds the numbers of the records in the order they were applied."""

    record_types = (NumberRecord,)

    def __init__(self) -> None:
        self.numbers: list[int] = []

    def apply(self, number_record: Any) -> None:
        self.numbers.append(number_record.number)

    def dump(self) -> Any:
        return list(self.numbers)

    def load(self, plain: Any) -> None:
        self.numbers = list(plain)


class Owner:
    """An owner of the partition that writes numbers to its journal."""

    def __init__(
        self,
        store: MemoryTableStore,
        objects: MemoryObjectStore | None = None,
        **settings: int,
    ) -> None:
        self.store = store
        self.objects = objects or MemoryObjectStore()
        self.settings = JournalSettings(**settings)
        self.state = NumberList()
        self.recovered: Any = None

    def claim(self, epoch: int) -> OwnerClaim:
        """Writes the owner row as a successful claim does."""
        written = self.store.tables.commit(
            Transaction(
                (),
                (Write(OWNERS_TABLE, PARTITION, {'epoch': epoch}),),
            )
        )
        self.version = written.versions[0]
        return OwnerClaim(PARTITION, Epoch(epoch), self.version)

    async def open(self, epoch: int) -> PartitionJournal:
        """Claims the partition, recovers it and opens its journal."""
        claim = self.claim(epoch)
        self.state = NumberList()
        self.recovered = await recover(
            self.store, self.objects, PARTITION, [self.state]
        )
        assert isinstance(self.recovered, RecoveryResult), self.recovered
        self.journal = PartitionJournal(
            self.store,
            claim,
            self.recovered,
            self.settings,
            lambda: {'NumberList': self.state.dump()},
        )
        self.snapshot_writer = SnapshotWriter(
            self.store, self.objects, claim, self.settings
        )
        return self.journal

    async def snapshot(self) -> object:
        """Stores the state that the journal captured."""
        captured = self.journal.pop_captured_state()
        assert captured is not None
        self.snapshot_writer.set_next_state(captured)
        return await self.snapshot_writer.step(1)

    def append_numbers(self, *numbers: int, padding: str = '') -> int:
        """Applies and appends records; returns the last position."""
        position = 0
        for number in numbers:
            number_record = NumberRecord(number, padding)
            self.state.apply(number_record)
            position = self.journal.append(number_record)
        return position


async def recovered_numbers(
    store: MemoryTableStore, objects: MemoryObjectStore
) -> list[int]:
    state = NumberList()
    outcome = await recover(store, objects, PARTITION, [state])
    assert isinstance(outcome, RecoveryResult), outcome
    return state.numbers


__all__ = (
    'PARTITION',
    'NumberList',
    'NumberRecord',
    'Owner',
    'recovered_numbers',
)
