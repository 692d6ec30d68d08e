"""Writes snapshots of an owned partition and deletes the rows they cover."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from radishlift.core.codec import dump_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Sequence
from radishlift.journal.object_cleaner import ObjectCleaner
from radishlift.journal.part_store import PartStore
from radishlift.journal.parts import PartRef
from radishlift.journal.rows import JOURNAL_TABLE, key_prefix, parse_sequence
from radishlift.journal.settings import JournalSettings
from radishlift.journal.snapshot_rows import (
    SNAPSHOTS_TABLE,
    SnapshotRow,
    parse_snapshot_row,
)
from radishlift.journal.snapshots import CapturedState, encode_snapshot
from radishlift.ownership.api import OwnerClaim
from radishlift.services.api import (
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
class _CurrentRow:
    version: int
    snapshot_row: SnapshotRow


class SnapshotWriter:
    """Replaces the snapshot of one partition in small steps.

    Every table write is conditional on the claim, so a previous owner can't
    replace the snapshot of the new owner. Object names contain the sequence
    and the epoch: two owners never write the same object, and a retried
    upload writes the same content.

    Sealed parts are stored once, before the first snapshot that refers to
    them. The snapshot row lists object names before the objects are written,
    and replaced objects until they are deleted. If an owner dies between two
    steps, the next owner finds and deletes the listed objects.
    """

    def __init__(
        self,
        store: TableStore,
        object_store: ObjectStore,
        claim: OwnerClaim,
        settings: JournalSettings,
        known_parts: Iterable[PartRef] = (),
    ) -> None:
        self._store = store
        self._object_store = object_store
        self._claim = claim
        self._settings = settings
        self._next_state: CapturedState | None = None
        self._is_announced = False
        self._has_old_rows = True
        self._parts = PartStore(object_store, claim, known_parts)
        self._cleaner = ObjectCleaner(object_store)

    @property
    def has_work(self) -> bool:
        """Returns whether a step may have something to do."""
        has_next_state = self._next_state is not None
        return has_next_state or self._has_old_rows or self._cleaner.has_work

    def set_next_state(self, captured: CapturedState) -> None:
        """Sets the state to store next; replaces an older one.

        Has no effect while the row lists the objects of a state that is not
        stored yet. Otherwise the row would list more names with each new state
        during a long outage of the object store.
        """
        if not self._is_announced:
            self._next_state = captured

    async def step(self, max_writes: int) -> int | Failure:
        """Stores the next snapshot or, without one, deletes covered rows.

        Returns how many rows of the table were written or deleted, at most
        `max_writes`. Fails with `not_owner` when the partition has a new
        owner, and with an error kind of the store. The next step retries a
        failed one.
        """
        if max_writes < 1:
            return 0
        current = await self._read_current()
        if isinstance(current, Failure):
            return current
        if self._next_state is None:
            failure = await self._delete_leftovers(current)
            if failure is not None:
                return failure
            return await self._delete_rows(
                current.snapshot_row.sequence, max_writes
            )
        if current.snapshot_row.sequence >= self._next_state.sequence:
            # An earlier commit whose response was lost took effect.
            self._clear_next_state()
            return 0
        return await self._store_snapshot(current, self._next_state)

    async def _read_current(self) -> _CurrentRow | Failure:
        row = await self._store.read(SNAPSHOTS_TABLE, self._claim.partition_id)
        if isinstance(row, Failure):
            return row
        snapshot_row = parse_snapshot_row(row)
        if isinstance(snapshot_row, Failure):
            return snapshot_row
        return _CurrentRow(row.version, snapshot_row)

    async def _store_snapshot(
        self,
        current: _CurrentRow,
        captured: CapturedState,
    ) -> int | Failure:
        missing = self._parts.missing_parts(captured)
        object_name = self._object_name(captured)
        if captured.can_have_parts:
            names = {object_name, *map(self._parts.object_name, missing)}
            if not names.issubset(current.snapshot_row.leftover):
                return await self._announce(current, names)
            self._is_announced = True
        if missing:
            # Only one part in each step, because the next flush waits for the
            # step.
            failure = await self._parts.store(captured, missing[0])
            return 0 if failure is None else failure
        refs = self._parts.refs_of(captured)
        encoded = encode_snapshot(self._claim.partition_id, captured, refs)
        failure = await self._object_store.put(object_name, encoded)
        if failure is not None:
            return failure
        parts = tuple(ref.object_name for ref in refs)
        in_use = frozenset((object_name, *parts))
        leftover = self._cleaner.leftover_after(current.snapshot_row, in_use)
        snapshot_row = SnapshotRow(
            object_name, captured.sequence, parts, leftover
        )
        failure = await self._write_row(current, snapshot_row)
        if failure is not None:
            return failure
        self._clear_next_state()
        self._parts.discard_unused(captured)
        await self._cleaner.delete(snapshot_row)
        return _SNAPSHOT_WRITES

    async def _announce(
        self,
        current: _CurrentRow,
        names: set[str],
    ) -> int | Failure:
        """Lists objects in the snapshot row before they are written."""
        leftover = tuple(sorted({*current.snapshot_row.leftover, *names}))
        snapshot_row = replace(current.snapshot_row, leftover=leftover)
        failure = await self._write_row(current, snapshot_row)
        return _SNAPSHOT_WRITES if failure is None else failure

    async def _write_row(
        self,
        current: _CurrentRow,
        snapshot_row: SnapshotRow,
    ) -> Failure | None:
        partition_id = self._claim.partition_id
        write = Write(SNAPSHOTS_TABLE, partition_id, dump_plain(snapshot_row))
        outcome = await self._store.commit(
            Transaction(self._conditions(current), (write,)),
        )
        if isinstance(outcome, Conflict):
            return await self._handle_conflict(outcome.rows)
        if isinstance(outcome, Failure):
            return outcome
        self._cleaner.on_row_written(snapshot_row)
        return None

    async def _delete_leftovers(self, current: _CurrentRow) -> Failure | None:
        if not self._cleaner.has_work:
            return None
        if not self._cleaner.list_pending(current.snapshot_row):
            self._cleaner.has_work = False
            return None
        # The row that was read may be outdated. A transaction without writes
        # checks its version and the claim; only the owner changes the row.
        outcome = await self._store.commit(
            Transaction(self._conditions(current), ()),
        )
        if isinstance(outcome, Conflict):
            return await self._handle_conflict(outcome.rows)
        if isinstance(outcome, Failure):
            return outcome
        await self._cleaner.delete(current.snapshot_row)
        return None

    async def _handle_conflict(self, rows: tuple[Row, ...]) -> Failure:
        if not self._is_deposed(rows):
            reason = 'snapshot row changed concurrently'
            return Failure(ErrorKind.conflict, reason)
        written = set(self._parts.own_object_names)
        if self._next_state is not None:
            written.add(self._object_name(self._next_state))
        self._clear_next_state()
        self._has_old_rows = False
        self._cleaner.has_work = False
        # The new owner uses only objects that the snapshot row refers to, so
        # the others that this owner has written can be deleted.
        in_use = _objects_in_use(rows)
        if in_use is not None:
            for object_name in sorted(written - in_use):
                await self._cleaner.delete_object(object_name)
        return Failure(ErrorKind.not_owner, 'owner row changed')

    def _conditions(self, current: _CurrentRow) -> tuple[Condition, ...]:
        partition_id = self._claim.partition_id
        return (
            Condition(SNAPSHOTS_TABLE, partition_id, current.version),
            self._claim.condition,
        )

    def _object_name(self, captured: CapturedState) -> str:
        suffix = f'{captured.sequence:012d}-{self._claim.epoch}'
        return f'snapshots/{self._claim.partition_id}/{suffix}'

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

    def _clear_next_state(self) -> None:
        self._next_state = None
        self._is_announced = False
        self._has_old_rows = True
        self._cleaner.has_work = True

    def _is_deposed(self, rows: tuple[Row, ...]) -> bool:
        condition = self._claim.condition
        return any(
            row.table == condition.table and row.version != condition.version
            for row in rows
        )


def _objects_in_use(rows: tuple[Row, ...]) -> frozenset[str] | None:
    """Returns the objects in use; None without a readable snapshot row."""
    for row in rows:
        if row.table == SNAPSHOTS_TABLE:
            parsed = parse_snapshot_row(row)
            return None if isinstance(parsed, Failure) else parsed.in_use
    return None


def _is_covered(row: Row, covered: Sequence) -> bool:
    sequence = parse_sequence(row.key)
    return not isinstance(sequence, Failure) and sequence <= covered


__all__ = ('SnapshotWriter',)
