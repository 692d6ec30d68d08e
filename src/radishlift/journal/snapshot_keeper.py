"""Writes snapshots of an owned partition and deletes rows they cover."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.codec import dump_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Sequence
from radishlift.core.logs import log_event
from radishlift.journal.rows import JOURNAL_TABLE, key_prefix, sequence_of
from radishlift.journal.settings import JournalSettings
from radishlift.journal.snapshot_rows import (
    SNAPSHOTS_TABLE,
    SnapshotRow,
    parse_snapshot_row,
)
from radishlift.journal.snapshots import CapturedState, encode_snapshot
from radishlift.ownership.api import OwnerClaim
from radishlift.platform.api import (
    Condition,
    Conflict,
    ObjectStore,
    Row,
    TableStore,
    Transaction,
    Write,
)

_SNAPSHOT_WRITES: Final = 1


@dataclass(frozen=True, slots=True)
class _Current:
    version: int
    named: SnapshotRow


class SnapshotKeeper:
    """Moves the snapshot of one partition forward in small steps.

    Every write of the table is conditional on the claim, so a deposed owner
    can't replace its successor's snapshot. Objects are named by sequence and
    epoch: two owners never write the same object, and a repeated upload
    writes the same content.
    """

    def __init__(
        self,
        store: TableStore,
        object_store: ObjectStore,
        claim: OwnerClaim,
        settings: JournalSettings,
    ) -> None:
        self._store = store
        self._object_store = object_store
        self._claim = claim
        self._settings = settings
        self._offered: CapturedState | None = None
        self._covered: Sequence | None = None
        self._has_old_rows = True

    @property
    def has_work(self) -> bool:
        """Tells whether a step would do something."""
        return self._offered is not None or self._has_old_rows

    def offer(self, captured: CapturedState) -> None:
        """Sets the state to be stored next, in place of an older one."""
        self._offered = captured

    async def step(self, max_writes: int) -> int | Failure:
        """Stores the offered snapshot, else deletes some covered rows.

        Returns how many rows of the table were written or deleted, at most
        `max_writes`. Fails with `not_owner` when deposed and with a kind of
        the store; a failed step is repeated by the next one.
        """
        if max_writes < 1:
            return 0
        current = await self._read_current()
        if isinstance(current, Failure):
            return current
        if self._offered is None:
            return await self._delete_rows(current.named.sequence, max_writes)
        if current.named.sequence >= self._offered.sequence:
            # An earlier commit whose answer was lost took effect.
            self._finish_offer()
            return 0
        return await self._store_snapshot(current, self._offered)

    async def _read_current(self) -> _Current | Failure:
        row = await self._store.read(SNAPSHOTS_TABLE, self._claim.partition_id)
        if isinstance(row, Failure):
            return row
        named = parse_snapshot_row(row)
        if isinstance(named, Failure):
            return named
        return _Current(row.version, named)

    async def _store_snapshot(
        self,
        current: _Current,
        captured: CapturedState,
    ) -> int | Failure:
        partition_id = self._claim.partition_id
        suffix = f'{captured.sequence:012d}-{self._claim.epoch}'
        object_name = f'snapshots/{partition_id}/{suffix}'
        encoded = encode_snapshot(partition_id, captured)
        failure = await self._object_store.put(object_name, encoded)
        if failure is not None:
            return failure
        named = SnapshotRow(object_name, captured.sequence)
        outcome = await self._store.commit(
            Transaction(
                (
                    Condition(SNAPSHOTS_TABLE, partition_id, current.version),
                    self._claim.condition,
                ),
                (Write(SNAPSHOTS_TABLE, partition_id, dump_plain(named)),),
            )
        )
        if isinstance(outcome, Conflict):
            return await self._judge_conflict(outcome.rows, object_name)
        if isinstance(outcome, Failure):
            return outcome
        self._finish_offer()
        await self._delete_object(current.named.object_name)
        return _SNAPSHOT_WRITES

    async def _judge_conflict(
        self,
        rows: tuple[Row, ...],
        object_name: str,
    ) -> Failure:
        if not self._is_deposed(rows):
            reason = 'snapshot row changed meanwhile'
            return Failure(ErrorKind.conflict, reason)
        self._offered = None
        self._has_old_rows = False
        if not any(_names(row, object_name) for row in rows):
            await self._delete_object(object_name)
        return Failure(ErrorKind.not_owner, 'owner row changed')

    async def _delete_rows(
        self,
        covered: Sequence,
        max_writes: int,
    ) -> int | Failure:
        limit = min(max_writes, self._settings.delete_batch_count)
        prefix = key_prefix(self._claim.partition_id)
        rows = await self._store.scan(JOURNAL_TABLE, prefix, '', limit)
        if isinstance(rows, Failure):
            return rows
        old = tuple(row for row in rows if _is_covered(row, covered))
        self._has_old_rows = len(old) == limit
        if not old:
            return 0
        writes = tuple(Write(JOURNAL_TABLE, row.key, None) for row in old)
        outcome = await self._store.commit(
            Transaction((self._claim.condition,), writes),
        )
        if isinstance(outcome, Conflict):
            self._has_old_rows = False
            return Failure(ErrorKind.not_owner, 'owner row changed')
        if isinstance(outcome, Failure):
            self._has_old_rows = True
            return outcome
        return len(old)

    async def _delete_object(self, object_name: str) -> None:
        if not object_name:
            return
        failure = await self._object_store.delete(object_name)
        if failure is not None:
            log_event(
                'snapshot_object_left',
                object=object_name,
                reason=failure.reason,
            )

    def _finish_offer(self) -> None:
        self._offered = None
        self._has_old_rows = True

    def _is_deposed(self, rows: tuple[Row, ...]) -> bool:
        condition = self._claim.condition
        return any(
            row.table == condition.table and row.version != condition.version
            for row in rows
        )


def _names(row: Row, object_name: str) -> bool:
    if row.table != SNAPSHOTS_TABLE:
        return False
    named = parse_snapshot_row(row)
    return isinstance(named, Failure) or named.object_name == object_name


def _is_covered(row: Row, covered: Sequence) -> bool:
    sequence = sequence_of(row.key)
    return not isinstance(sequence, Failure) and sequence <= covered


__all__ = ('SnapshotKeeper',)
