"""Rows of the `racks` table, written many in one transaction."""

from collections.abc import Iterable, Mapping
from typing import Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, PartitionId, RackId
from radishlift.core.logs import log_event
from radishlift.ownership.api import OWNERS_TABLE
from radishlift.partitions.rack_moves import NO_PARTITION, RackRow
from radishlift.services.api import (
    Committed,
    Condition,
    Conflict,
    Row,
    TableStore,
    Transaction,
    Write,
)

RACKS_TABLE: Final = 'racks'
UNREADABLE: Final = PartitionId('?')
"""Stands for what a row that can't be read names."""
BATCH_COUNT: Final = 100
"""Racks in one transaction; a partition of 400 workers has about 50."""


class RackRows:
    """The rows as this partition has last read or written them.

    Nothing rests on their age: each write requires the version.
    """

    def __init__(self, store: TableStore) -> None:
        self._store = store
        self._known: dict[RackId, RackRow] = {}

    def known(self, rack: RackId) -> RackRow | None:
        """Returns a row as last seen; None if it was not read."""
        return self._known.get(rack)

    async def read(self, racks: Iterable[RackId]) -> bool:
        """Reads rows; tells whether one of them has changed."""
        has_changed = False
        for rack in racks:
            before = self._known.get(rack)
            row = await self._store.read(RACKS_TABLE, rack)
            if isinstance(row, Failure):
                return has_changed
            self._take(row)
            has_changed |= self._known.get(rack) != before
        return has_changed

    async def write(self, wanted: Mapping[RackId, RackRow]) -> bool:
        """Writes rows; tells whether anything new is known.

        After a conflict the rows of the whole batch are known. After an
        unknown outcome none is, so that they are read or inserted again.
        """
        has_news = False
        racks = sorted(wanted)
        for begin in range(0, len(racks), BATCH_COUNT):
            batch = racks[begin : begin + BATCH_COUNT]
            outcome = await self._store.commit(
                Transaction(
                    tuple(
                        Condition(RACKS_TABLE, rack, wanted[rack].version)
                        for rack in batch
                    ),
                    tuple(_write_of(rack, wanted[rack]) for rack in batch),
                ),
            )
            has_news |= self._absorb(batch, wanted, outcome)
        return has_news

    async def owner_of(self, partition_id: PartitionId) -> DaemonId | None:
        """Reads which daemon owns a partition."""
        row = await self._store.read(OWNERS_TABLE, partition_id)
        if isinstance(row, Failure) or row.value is None:
            return None
        return DaemonId(row.value['daemon_id']) or None

    def _absorb(
        self,
        batch: list[RackId],
        wanted: Mapping[RackId, RackRow],
        outcome: Committed | Conflict | Failure,
    ) -> bool:
        if isinstance(outcome, Failure):
            if outcome.kind is not ErrorKind.store_unavailable:
                for rack in batch:
                    self._known.pop(rack, None)
            log_event(
                'rack_rows_not_written',
                racks=len(batch),
                reason=outcome.reason,
            )
            return False
        if isinstance(outcome, Conflict):
            before = [self._known.get(rack) for rack in batch]
            for row in outcome.rows:
                self._take(row)
            return before != [self._known.get(rack) for rack in batch]
        for rack, version in zip(batch, outcome.versions, strict=True):
            written = wanted[rack]
            self._known[rack] = RackRow(
                written.partition_id,
                written.serial,
                version,
            )
        return True

    def _take(self, row: Row) -> None:
        rack = RackId(row.key)
        match row.value:
            case None:
                self._known[rack] = RackRow(NO_PARTITION, 0, 0)
            case {'partition': str(name), 'serial': int(serial)}:
                self._known[rack] = RackRow(
                    PartitionId(name),
                    serial,
                    row.version,
                )
            case _:
                # Waiting for an operator must not hold up the other racks.
                self._known[rack] = RackRow(UNREADABLE, 0, row.version)
                log_event('bad_rack_row', rack=rack, value=row.value)


def _write_of(rack: RackId, row: RackRow) -> Write:
    return Write(
        RACKS_TABLE,
        rack,
        {'partition': row.partition_id, 'serial': row.serial},
    )


__all__ = ('RACKS_TABLE', 'RackRows')
