"""Rows of the `racks` table, written in batches."""

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
UNREADABLE_PARTITION: Final = PartitionId('?')
"""Partition of a row that can't be parsed."""
MAX_BATCH_RACKS_COUNT: Final = 100
"""Limit per transaction; a partition of 400 workers has about 50 racks."""


class RackRows:
    """The rows as this partition has last read or written them.

    They may be outdated, as each write is conditional on the version.
    """

    def __init__(self, store: TableStore) -> None:
        self._store = store
        self._last_read: dict[RackId, RackRow] = {}

    def last_read(self, rack: RackId) -> RackRow | None:
        """Returns a row as last read or written; None if it was not read."""
        return self._last_read.get(rack)

    async def read(self, racks: Iterable[RackId]) -> bool:
        """Reads rows; returns whether any of them has changed."""
        has_changed = False
        for rack in racks:
            before = self._last_read.get(rack)
            row = await self._store.read(RACKS_TABLE, rack)
            if isinstance(row, Failure):
                return has_changed
            self._store_row(row)
            has_changed |= self._last_read.get(rack) != before
        return has_changed

    async def write(self, new_rows: Mapping[RackId, RackRow]) -> bool:
        """Writes rows; returns whether any known row has changed.

        A conflict returns the rows of the whole batch, which are stored. After
        an unknown outcome the rows of the batch are forgotten, so that they are
        read or inserted again.
        """
        has_changes = False
        racks = sorted(new_rows)
        for start in range(0, len(racks), MAX_BATCH_RACKS_COUNT):
            batch = racks[start : start + MAX_BATCH_RACKS_COUNT]
            outcome = await self._store.commit(
                Transaction(
                    tuple(
                        Condition(RACKS_TABLE, rack, new_rows[rack].version)
                        for rack in batch
                    ),
                    tuple(_make_write(rack, new_rows[rack]) for rack in batch),
                ),
            )
            has_changes |= self._store_outcome(batch, new_rows, outcome)
        return has_changes

    async def owner_of(self, partition_id: PartitionId) -> DaemonId | None:
        """Reads the owner of a partition; None if unknown."""
        row = await self._store.read(OWNERS_TABLE, partition_id)
        if isinstance(row, Failure) or row.value is None:
            return None
        return DaemonId(row.value['daemon_id']) or None

    def _store_outcome(
        self,
        batch: list[RackId],
        new_rows: Mapping[RackId, RackRow],
        outcome: Committed | Conflict | Failure,
    ) -> bool:
        if isinstance(outcome, Failure):
            if outcome.kind is not ErrorKind.store_unavailable:
                for rack in batch:
                    self._last_read.pop(rack, None)
            log_event(
                'rack_rows_not_written',
                racks=len(batch),
                reason=outcome.reason,
            )
            return False
        if isinstance(outcome, Conflict):
            before = [self._last_read.get(rack) for rack in batch]
            for row in outcome.rows:
                self._store_row(row)
            return before != [self._last_read.get(rack) for rack in batch]
        for rack, version in zip(batch, outcome.versions, strict=True):
            written = new_rows[rack]
            self._last_read[rack] = RackRow(
                written.partition_id,
                written.serial,
                version,
            )
        return True

    def _store_row(self, row: Row) -> None:
        rack = RackId(row.key)
        match row.value:
            case None:
                self._last_read[rack] = RackRow(NO_PARTITION, 0, 0)
            case {'partition': str(name), 'serial': int(serial)}:
                self._last_read[rack] = RackRow(
                    PartitionId(name),
                    serial,
                    row.version,
                )
            case _:
                # The row needs an operator, but the other racks must not wait.
                self._last_read[rack] = RackRow(
                    UNREADABLE_PARTITION, 0, row.version
                )
                log_event('bad_rack_row', rack=rack, value=row.value)


def _make_write(rack: RackId, row: RackRow) -> Write:
    return Write(
        RACKS_TABLE,
        rack,
        {'partition': row.partition_id, 'serial': row.serial},
    )


__all__ = ('RACKS_TABLE', 'RackRows')
