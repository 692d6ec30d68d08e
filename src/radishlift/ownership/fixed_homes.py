"""Home partitions that a row of the table service fixes once.

If homes were hashed over the partitions of the current configuration, each
change of the partitions would move keys to other homes, and daemons would
disagree while the change is distributed. The row is written only if it is
absent, and never changes.
"""

from typing import Final

from radishlift.config.api import ConfigView
from radishlift.config.document import ConfigDocument
from radishlift.config.homes import HOMES_KEY, JOB_HOMES_TABLE, parse_homes
from radishlift.config.rows import HEAD_KEY, HEAD_TABLE, read_head
from radishlift.core.errors import Failure
from radishlift.core.ids import PartitionId
from radishlift.core.logs import log_event
from radishlift.ownership.rendezvous import home_partition
from radishlift.services.api import (
    Condition,
    Conflict,
    Row,
    TableStore,
    Transaction,
    Write,
)

Conditions = tuple[Condition, ...]


class FixedHomes:
    """Home partitions listed in a row, which is read once."""

    def __init__(
        self,
        store: TableStore,
        config: ConfigView,
        table: str,
    ) -> None:
        self._store = store
        self._config = config
        self._table: Final = table
        self._partitions: tuple[PartitionId, ...] = ()

    @property
    def is_known(self) -> bool:
        """Returns whether the row has been read."""
        return bool(self._partitions)

    @property
    def partitions(self) -> tuple[PartitionId, ...]:
        """Returns the homes, empty until the row has been read."""
        return self._partitions

    def home_of(self, key: str) -> PartitionId | None:
        """Returns the home of a key, None until the row has been read."""
        return home_partition(key, self._partitions)

    async def load(self) -> None:
        """Reads the row, or writes it if it is absent.

        After a lost response the next call reads the row again.
        """
        if self.is_known:
            return
        row = await self._store.read(self._table, HOMES_KEY)
        if isinstance(row, Failure):
            return
        if row.version:
            self._use_row(row)
            return
        document = self._config.current()
        if document is None or not document.partitions:
            return
        conditions = await self._conditions(document)
        if conditions is not None:
            await self._write(document, conditions)

    async def _conditions(self, document: ConfigDocument) -> Conditions | None:
        """Returns further conditions of the write, None to postpone it."""
        del document
        return ()

    async def _write(
        self,
        document: ConfigDocument,
        conditions: Conditions,
    ) -> None:
        value = {'partitions': sorted(document.partitions)}
        outcome = await self._store.commit(
            Transaction(
                (Condition(self._table, HOMES_KEY, 0), *conditions),
                (Write(self._table, HOMES_KEY, value),),
            )
        )
        if isinstance(outcome, Failure):
            log_event(
                'homes_not_written',
                table=self._table,
                reason=outcome.reason,
            )
        elif isinstance(outcome, Conflict):
            self._use_row(outcome.rows[0])
        else:
            version = outcome.versions[0]
            self._use_row(Row(self._table, HOMES_KEY, version, value))

    def _use_row(self, row: Row) -> None:
        homes = parse_homes(row)
        if isinstance(homes, Failure):
            log_event('bad_homes', table=self._table, reason=homes.reason)
        else:
            self._partitions = homes


class JobHomes(FixedHomes):
    """Home partitions of job ids and idempotency keys.

    The row is written only from the newest configuration document. The write of
    a document that removes a partition is conditional on this row being
    unchanged, so that one of two concurrent writes fails and no home is ever
    missing from the document.
    """

    def __init__(self, store: TableStore, config: ConfigView) -> None:
        super().__init__(store, config, JOB_HOMES_TABLE)

    async def _conditions(self, document: ConfigDocument) -> Conditions | None:
        head = await read_head(self._store)
        if isinstance(head, Failure) or head.version != document.version:
            return None
        return (Condition(HEAD_TABLE, HEAD_KEY, head.row_version),)


__all__ = ('FixedHomes', 'JobHomes')
