"""In-memory stand-in of the platform's table service, with faults."""

from collections import defaultdict
from copy import deepcopy
from enum import Enum, unique

from sortedcontainers import SortedDict

from radishlift.core.errors import ErrorKind, Failure
from radishlift.services.api import (
    Committed,
    Conflict,
    Row,
    Transaction,
)


@unique
class Fault(Enum):
    """Fault that the service simulates."""

    none = 'none'
    down = 'down'
    lose_answers = 'lose_answers'
    lose_requests = 'lose_requests'


class Tables:
    """Rows with versions and atomic transactions."""

    def __init__(self) -> None:
        self._tables: dict[str, SortedDict] = defaultdict(SortedDict)
        self._last_version = 0
        self.history: list[Transaction] = []
        self.write_count = 0

    def read(self, table: str, key: str) -> Row:
        """Reads one row."""
        row = self._tables[table].get(key)
        return Row(table, key, 0, None) if row is None else row

    def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> tuple[Row, ...]:
        """Reads rows in key order."""
        rows = []
        for key in self._tables[table].irange(minimum=max(prefix, after)):
            if not key.startswith(prefix) or len(rows) == limit:
                break
            if key > after or not after:
                rows.append(self._tables[table][key])
        return tuple(rows)

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Applies a transaction if its conditions hold."""
        current = tuple(
            self.read(condition.table, condition.key)
            for condition in transaction.conditions
        )
        for condition, row in zip(transaction.conditions, current, strict=True):
            if condition.version != row.version:
                return Conflict(current)
        versions = []
        for write in transaction.writes:
            self._last_version += 1
            versions.append(self._last_version)
            if write.value is None:
                self._tables[write.table].pop(write.key, None)
                continue
            self._tables[write.table][write.key] = Row(
                write.table,
                write.key,
                self._last_version,
                write.value,
            )
        self.write_count += len(transaction.writes)
        self.history.append(transaction)
        return Committed(tuple(versions))

    def clear(self) -> None:
        """Drops all rows and the history, to measure memory without them."""
        self._tables.clear()
        self.history.clear()


class MemoryTableStore:
    """A `TableStore` in this process, for tests of one module.

    `lost_requests` keeps lost transactions, so that a test can apply them late.
    """

    def __init__(self, tables: Tables | None = None) -> None:
        self.tables = tables or Tables()
        self.fault = Fault.none
        self.fail_next_commits: list[Fault] = []
        self.lost_requests: list[Transaction] = []
        self._read_tables = self.tables

    def freeze_reads(self) -> None:
        """Answers later reads from the rows as they are now.

        Commits still check and change the current rows.
        """
        self._read_tables = deepcopy(self.tables)

    def refresh_reads(self) -> None:
        """Answers later reads from the current rows again."""
        self._read_tables = self.tables

    async def read(self, table: str, key: str) -> Row | Failure:
        """Reads one row."""
        if self.fault is Fault.down:
            return Failure(ErrorKind.store_unavailable, 'down')
        return self._read_tables.read(table, key)

    async def scan(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
    ) -> tuple[Row, ...] | Failure:
        """Reads rows in key order."""
        if self.fault is Fault.down:
            return Failure(ErrorKind.store_unavailable, 'down')
        return self._read_tables.scan(table, prefix, after, limit)

    async def commit(
        self,
        transaction: Transaction,
    ) -> Committed | Conflict | Failure:
        """Applies a transaction, or fails according to the current fault."""
        fault = self.fault
        if self.fail_next_commits:
            fault = self.fail_next_commits.pop(0)
        if fault is Fault.down:
            return Failure(ErrorKind.store_unavailable, 'down')
        if fault is Fault.lose_requests:
            self.lost_requests.append(transaction)
            return Failure(ErrorKind.store_outcome_unknown, 'request lost')
        outcome = self.tables.commit(transaction)
        if fault is Fault.lose_answers:
            return Failure(ErrorKind.store_outcome_unknown, 'answer lost')
        return outcome


class MemoryObjectStore:
    """An `ObjectStore` in this process."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.is_down = False

    async def put(self, name: str, content: bytes) -> Failure | None:
        """Stores an object."""
        if self.is_down:
            return Failure(ErrorKind.store_unavailable, 'down')
        self.objects[name] = content
        return None

    async def get(self, name: str) -> bytes | Failure:
        """Reads an object."""
        if self.is_down:
            return Failure(ErrorKind.store_unavailable, 'down')
        if name not in self.objects:
            return Failure(ErrorKind.not_found, f'no object {name}')
        return self.objects[name]

    async def delete(self, name: str) -> Failure | None:
        """Deletes an object."""
        if self.is_down:
            return Failure(ErrorKind.store_unavailable, 'down')
        self.objects.pop(name, None)
        return None


__all__ = ('Fault', 'MemoryObjectStore', 'MemoryTableStore', 'Tables')
