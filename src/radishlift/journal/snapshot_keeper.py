"""Writes snapshots of an owned partition and deletes rows they cover."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from radishlift.core.codec import dump_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Sequence
from radishlift.journal.leftovers import Leftovers
from radishlift.journal.part_store import PartStore
from radishlift.journal.parts import PartRef
from radishlift.journal.rows import JOURNAL_TABLE, key_prefix, sequence_of
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
class _Current:
    version: int
    named: SnapshotRow


class SnapshotKeeper:
    """Moves the snapshot of one partition forward in small steps.

    Every write of the table is conditional on the claim, so a deposed owner
    can't replace its successor's snapshot. Objects are named by sequence and
    epoch: two owners never write the same object, and a repeated upload
    writes the same content.

    Sealed parts are stored once, before the first snapshot that refers to
    them. The row lists the names before they are written, and after they
    are replaced until they are deleted: whoever dies between two steps
    leaves names that the next owner deletes.
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
        self._offered: CapturedState | None = None
        self._is_announced = False
        self._has_old_rows = True
        self._parts = PartStore(object_store, claim, known_parts)
        self._leftovers = Leftovers(object_store)

    @property
    def has_work(self) -> bool:
        """Tells whether a step would do something."""
        has_offer = self._offered is not None
        return has_offer or self._has_old_rows or self._leftovers.has_work

    def offer(self, captured: CapturedState) -> None:
        """Sets the state to be stored next, in place of an older one.

        One whose objects are announced is stored first; otherwise the row
        would list more names with each offer of a long outage of the object
        store.
        """
        if not self._is_announced:
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
            failure = await self._delete_leftovers(current)
            if failure is not None:
                return failure
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
        missing = self._parts.missing(captured)
        object_name = self._object_name(captured)
        if captured.is_parted:
            names = {object_name, *map(self._parts.object_name, missing)}
            if not names.issubset(current.named.leftover):
                return await self._announce(current, names)
            self._is_announced = True
        if missing:
            # One part in a step, because the next flush waits for the step.
            failure = await self._parts.store(captured, missing[0])
            return 0 if failure is None else failure
        refs = self._parts.refs_of(captured)
        encoded = encode_snapshot(self._claim.partition_id, captured, refs)
        failure = await self._object_store.put(object_name, encoded)
        if failure is not None:
            return failure
        parts = tuple(ref.object_name for ref in refs)
        in_use = frozenset((object_name, *parts))
        leftover = self._leftovers.after(current.named, in_use)
        named = SnapshotRow(object_name, captured.sequence, parts, leftover)
        failure = await self._write_row(current, named)
        if failure is not None:
            return failure
        self._finish_offer()
        self._parts.forget_others(captured)
        await self._leftovers.delete(named)
        return _SNAPSHOT_WRITES

    async def _announce(
        self,
        current: _Current,
        names: set[str],
    ) -> int | Failure:
        """Lists objects in the row before they are written."""
        leftover = tuple(sorted({*current.named.leftover, *names}))
        named = replace(current.named, leftover=leftover)
        failure = await self._write_row(current, named)
        return _SNAPSHOT_WRITES if failure is None else failure

    async def _write_row(
        self,
        current: _Current,
        named: SnapshotRow,
    ) -> Failure | None:
        partition_id = self._claim.partition_id
        write = Write(SNAPSHOTS_TABLE, partition_id, dump_plain(named))
        outcome = await self._store.commit(
            Transaction(self._conditions(current), (write,)),
        )
        if isinstance(outcome, Conflict):
            return await self._judge_conflict(outcome.rows)
        if isinstance(outcome, Failure):
            return outcome
        self._leftovers.note_row(named)
        return None

    async def _delete_leftovers(self, current: _Current) -> Failure | None:
        if not self._leftovers.has_work:
            return None
        if not self._leftovers.pending(current.named):
            self._leftovers.has_work = False
            return None
        # The read may be outdated; a transaction is checked against the row
        # as it is, and only its owner can change it.
        outcome = await self._store.commit(
            Transaction(self._conditions(current), ()),
        )
        if isinstance(outcome, Conflict):
            return await self._judge_conflict(outcome.rows)
        if isinstance(outcome, Failure):
            return outcome
        await self._leftovers.delete(current.named)
        return None

    async def _judge_conflict(self, rows: tuple[Row, ...]) -> Failure:
        if not self._is_deposed(rows):
            reason = 'snapshot row changed meanwhile'
            return Failure(ErrorKind.conflict, reason)
        written = set(self._parts.own_names)
        if self._offered is not None:
            written.add(self._object_name(self._offered))
        self._finish_offer()
        self._has_old_rows = False
        self._leftovers.has_work = False
        # A later owner uses only objects that a row named before.
        in_use = _named_by(rows)
        if in_use is not None:
            for object_name in sorted(written - in_use):
                await self._leftovers.delete_one(object_name)
        return Failure(ErrorKind.not_owner, 'owner row changed')

    def _conditions(self, current: _Current) -> tuple[Condition, ...]:
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

    def _finish_offer(self) -> None:
        self._offered = None
        self._is_announced = False
        self._has_old_rows = True
        self._leftovers.has_work = True

    def _is_deposed(self, rows: tuple[Row, ...]) -> bool:
        condition = self._claim.condition
        return any(
            row.table == condition.table and row.version != condition.version
            for row in rows
        )


def _named_by(rows: tuple[Row, ...]) -> frozenset[str] | None:
    """Returns the objects in use; None if the row can't tell."""
    for row in rows:
        if row.table == SNAPSHOTS_TABLE:
            named = parse_snapshot_row(row)
            return None if isinstance(named, Failure) else named.in_use
    return None


def _is_covered(row: Row, covered: Sequence) -> bool:
    sequence = sequence_of(row.key)
    return not isinstance(sequence, Failure) and sequence <= covered


__all__ = ('SnapshotKeeper',)
