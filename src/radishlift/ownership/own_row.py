"""The row of this daemon in the `daemons` table."""

from dataclasses import replace
from typing import Any, Final

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, Incarnation, PartitionId
from radishlift.membership.api import Member
from radishlift.membership.daemon_rows import (
    DAEMONS_TABLE,
    DaemonRow,
    DaemonState,
    dump_daemon_row,
    parse_daemon_row,
)
from radishlift.services.api import (
    Committed,
    Condition,
    Conflict,
    Row,
    TableStore,
    Transaction,
    Write,
)

_ATTEMPTS: Final = 3


class OwnRow:
    """Writes the row of this daemon and detects a newer incarnation.

    A process that starts replaces the row of the previous incarnation. Any
    other incarnation that appears later has replaced this one.
    """

    def __init__(self, store: TableStore, clock: Clock, member: Member) -> None:
        self.daemon_id: DaemonId = member.daemon_id
        self.is_replaced = False
        self.has_unpublished_changes = False
        self.is_deleted = False
        self._store = store
        self._clock = clock
        self._row = DaemonRow(
            member.incarnation,
            member.listen,
            member.peer_listen,
            member.data_centre,
            0,
            DaemonState.serving,
            region=member.region,
            format_level=member.format_level,
        )
        self._version: int | None = None
        self._previous_incarnation = Incarnation('')
        self._renewed_at_ms: int | None = None
        self._started_at_ms: int | None = None

    @property
    def format_level(self) -> int:
        """Returns the format level that this daemon announces."""
        return self._row.format_level

    @property
    def incarnation(self) -> Incarnation:
        """Returns the incarnation of this process."""
        return self._row.incarnation

    @property
    def age_ms(self) -> int | None:
        """Returns the time since the last renewal; None before the first."""
        if self._renewed_at_ms is None:
            return None
        return self._clock.monotonic_ms() - self._renewed_at_ms

    @property
    def serving_ms(self) -> int:
        """Returns the time since the first renewal; 0 before it."""
        if self._started_at_ms is None:
            return 0
        return self._clock.monotonic_ms() - self._started_at_ms

    @property
    def state(self) -> DaemonState:
        """Returns whether this daemon serves or drains."""
        return self._row.state

    def drain(self) -> None:
        """Announces with the next renewal that this daemon is draining."""
        self._row = replace(self._row, state=DaemonState.draining)

    def count_owner_change(self) -> None:
        """Makes others read the owner rows after the next renewal."""
        changes = self._row.owner_changes + 1
        self._row = replace(self._row, owner_changes=changes)
        self.has_unpublished_changes = True

    @property
    def declined(self) -> tuple[PartitionId, ...]:
        """Returns the partitions that this daemon does not claim any more."""
        return self._row.declined

    def decline(self, partition_id: PartitionId) -> None:
        """Marks a partition as declined.

        The next renewal announces it, so that other daemons claim it.
        """
        declined = sorted({*self._row.declined, partition_id})
        self._row = replace(self._row, declined=tuple(declined))
        self.has_unpublished_changes = True

    async def renew(self) -> Failure | None:
        """Writes the row with a higher counter.

        Fails with `not_owner` when a newer incarnation has replaced this
        daemon, with `draining` after the row was deleted, and with an error
        kind of the store.
        """
        if self.is_replaced:
            return _replaced_failure()
        if self.is_deleted:
            return Failure(
                ErrorKind.draining,
                'row of this daemon was deleted for its stop',
            )
        if self._version is None:
            failure = await self._read_previous_incarnation()
            if failure is not None:
                return failure
        for _ in range(_ATTEMPTS):
            self._row = replace(self._row, counter=self._row.counter + 1)
            sent = self._row
            outcome = await self._write(dump_daemon_row(sent))
            if isinstance(outcome, Failure):
                return outcome
            if not isinstance(outcome, Conflict):
                self._version = outcome.versions[0]
                current = replace(self._row, counter=sent.counter)
                self.has_unpublished_changes = sent != current
                self._renewed_at_ms = self._clock.monotonic_ms()
                if self._started_at_ms is None:
                    self._started_at_ms = self._renewed_at_ms
                return None
            failure = self._handle_conflict(outcome.rows[0])
            if failure is not None:
                return failure
        return Failure(ErrorKind.conflict, 'row of this daemon keeps changing')

    async def delete(self) -> Failure | None:
        """Deletes the row at the end of a planned stop."""
        if self.is_replaced:
            return _replaced_failure()
        # Set before the write: a concurrent renewal must not write the row
        # again.
        self.is_deleted = True
        outcome = await self._write(None)
        if isinstance(outcome, Committed):
            return None
        self.is_deleted = False
        if isinstance(outcome, Failure):
            return outcome
        return Failure(ErrorKind.conflict, 'row of this daemon changed')

    async def _read_previous_incarnation(self) -> Failure | None:
        row = await self._store.read(DAEMONS_TABLE, self.daemon_id)
        if isinstance(row, Failure):
            return row
        self._version = row.version
        parsed = parse_daemon_row(row) if row.version else self._row
        if not isinstance(parsed, Failure):
            self._previous_incarnation = parsed.incarnation
        return None

    async def _write(
        self,
        plain: Any,
    ) -> Committed | Conflict | Failure:
        condition = Condition(DAEMONS_TABLE, self.daemon_id, self._version or 0)
        write = Write(DAEMONS_TABLE, self.daemon_id, plain)
        return await self._store.commit(Transaction((condition,), (write,)))

    def _handle_conflict(self, row: Row) -> Failure | None:
        # The row was written by an earlier renewal whose response was lost, by
        # a last renewal of the previous incarnation, or by a newer one.
        self._version = row.version
        if not row.version:
            return None
        parsed = parse_daemon_row(row)
        if isinstance(parsed, Failure):
            return parsed
        own = {self.incarnation}
        if self._renewed_at_ms is None:
            own.add(self._previous_incarnation)
        if parsed.incarnation in own:
            return None
        self.is_replaced = True
        return _replaced_failure()


def _replaced_failure() -> Failure:
    reason = 'a newer incarnation of this daemon runs'
    return Failure(ErrorKind.not_owner, reason)


__all__ = ('OwnRow',)
