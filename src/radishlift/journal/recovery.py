"""Rebuilds the state of a partition from its snapshot and journal."""

import asyncio
from collections.abc import Sequence as Items
from dataclasses import dataclass, replace
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Epoch, PartitionId, Sequence
from radishlift.core.kinds import UnknownFormat
from radishlift.journal.api import JournaledState
from radishlift.journal.parts import PartRef
from radishlift.journal.records import decode_record
from radishlift.journal.rows import (
    JOURNAL_TABLE,
    key_prefix,
    parse_row,
    parse_sequence,
    row_key,
)
from radishlift.journal.snapshot_rows import read_snapshot_sequence
from radishlift.journal.snapshots import load_snapshot
from radishlift.services.api import ObjectStore, Row, TableStore

_SCAN_LIMIT: Final = 100
_DAMAGE_KINDS: Final = frozenset((ErrorKind.internal, ErrorKind.not_found))


@dataclass(frozen=True, slots=True)
class RecoveryResult:
    """Result of a recovery; the next row of the journal is `next_sequence`.

    `snapshot_sequence` is 0 without a snapshot; rows up to it were not read.
    The counts are those of the replayed rows and records. `parts` are the
    sealed parts of the snapshot.
    """

    next_sequence: Sequence
    snapshot_sequence: Sequence
    rows_count: int
    records_count: int
    parts: tuple[PartRef, ...] = ()


class _Replay:
    def __init__(
        self,
        partition_id: PartitionId,
        states: Items[JournaledState],
        snapshot_sequence: Sequence,
    ) -> None:
        self.snapshot_sequence = snapshot_sequence
        self.last_sequence = snapshot_sequence
        self.records_count = 0
        self._partition_id = partition_id
        self._epoch = Epoch(0)
        self._state_by_type: dict[type, JournaledState] = {
            record_type: state
            for state in states
            for record_type in state.record_types
        }

    def apply_row(self, row: Row) -> Failure | None:
        sequence = parse_sequence(row.key)
        if sequence != self.last_sequence + 1:
            expected = row_key(self._partition_id, self.last_sequence + 1)
            return _damaged(
                f'journal row {expected} is missing before {row.key}'
            )
        parsed = parse_row(row)
        if isinstance(parsed, Failure):
            return parsed
        if parsed.epoch < self._epoch:
            return _damaged(
                f'journal row {row.key} has the earlier epoch {parsed.epoch}'
            )
        self._epoch = parsed.epoch
        self.last_sequence = sequence
        for stored in parsed.records:
            failure = self._apply(stored)
            if isinstance(failure, UnknownFormat):
                return replace(failure, reason=f'{row.key}: {failure.reason}')
            if failure is not None:
                return _damaged(f'{row.key}: {failure.reason}')
        return None

    def _apply(self, stored: Any) -> Failure | None:
        record = decode_record(stored)
        if isinstance(record, Failure):
            return record
        state = self._state_by_type.get(type(record))
        if state is None:
            return _damaged(
                f'no state accepts records of type {type(record).__name__}'
            )
        state.apply(record)
        self.records_count += 1
        return None


async def recover(
    store: TableStore,
    object_store: ObjectStore,
    partition_id: PartitionId,
    states: Items[JournaledState],
) -> RecoveryResult | Failure:
    """Loads the snapshot into the states and replays the rows after it.

    Call it only after the claim of the partition took effect: from then on
    no previous owner can add a row. After a failure the states must be
    discarded. The failure is

    - `internal` when a row or object is damaged or a row is missing,
    - `not_found` when the snapshot object is missing,
    - `not_owner` when another owner replaced the snapshot in the meantime,
    - an error kind of the store when something can't be read,
    - an `UnknownFormat` when a newer version wrote data that this version
      does not know.
    """
    covered = await read_snapshot_sequence(store, partition_id)
    if isinstance(covered, Failure):
        return covered
    outcome = await _recover(store, object_store, partition_id, states)
    if not isinstance(outcome, Failure) or outcome.kind not in _DAMAGE_KINDS:
        return outcome
    now_covered = await read_snapshot_sequence(store, partition_id)
    if isinstance(now_covered, Failure) or now_covered == covered:
        return outcome
    # Only the owner replaces the snapshot and deletes rows, so the claim of
    # this daemon is no longer in force.
    return Failure(ErrorKind.not_owner, 'another owner replaced the snapshot')


async def _recover(
    store: TableStore,
    object_store: ObjectStore,
    partition_id: PartitionId,
    states: Items[JournaledState],
) -> RecoveryResult | Failure:
    loaded = await load_snapshot(store, object_store, partition_id, states)
    if isinstance(loaded, Failure):
        return loaded
    replay = _Replay(partition_id, states, loaded.sequence)
    failure = await _replay_rows(store, partition_id, replay)
    if failure is not None:
        return failure
    return RecoveryResult(
        Sequence(replay.last_sequence + 1),
        replay.snapshot_sequence,
        replay.last_sequence - replay.snapshot_sequence,
        replay.records_count,
        loaded.parts,
    )


async def _replay_rows(
    store: TableStore,
    partition_id: PartitionId,
    replay: _Replay,
) -> Failure | None:
    while True:
        after = row_key(partition_id, replay.last_sequence)
        prefix = key_prefix(partition_id)
        rows = await store.scan(JOURNAL_TABLE, prefix, after, _SCAN_LIMIT)
        if isinstance(rows, Failure):
            return rows
        for row in rows:
            failure = replay.apply_row(row)
            if failure is not None:
                return failure
            # Heartbeats must continue while a long journal is replayed.
            await asyncio.sleep(0)
        if len(rows) < _SCAN_LIMIT:
            return None


def _damaged(reason: str) -> Failure:
    return Failure(ErrorKind.internal, reason)


__all__ = ('RecoveryResult', 'recover')
