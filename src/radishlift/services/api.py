"""Interfaces of the platform's services and their typed data."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any, Protocol

from radishlift.core.errors import Failure
from radishlift.core.ids import Address, DataCentreId, RackId, ServiceName


@dataclass(frozen=True, slots=True)
class Row:
    """A row of a table; an absent row has version 0 and no value."""

    table: str
    key: str
    version: int
    value: Mapping[str, Any] | None


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires that a row has this version; 0 requires that it is absent."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Sets the value of a row; None deletes the row."""

    table: str
    key: str
    value: Mapping[str, Any] | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect; `versions` has one for each write."""

    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; `rows` are the current rows of them all."""

    rows: tuple[Row, ...]


@unique
class HostState(Enum):
    """State of a host in the platform's list."""

    live = 'live'
    leaving = 'leaving'


@unique
class HostRole(Enum):
    """Purpose of a host."""

    worker = 'worker'
    executor = 'executor'
    entry = 'entry'


@dataclass(frozen=True, slots=True)
class Host:
    """A host in the platform's list.

    `rack` is empty for hosts that are not workers, `service` for hosts that
    are not executors.
    """

    address: Address
    state: HostState
    role: HostRole
    rack: RackId
    data_centre: DataCentreId
    service: ServiceName


class TableStore(Protocol):
    """The platform's transactional table service."""

    async def read(self, table: str, key: str) -> Row | Failure:
        """Reads one row; an absent row has version 0."""

    async def scan(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
    ) -> tuple[Row, ...] | Failure:
        """Reads up to `limit` rows with keys after `after`, in key order."""

    async def commit(
        self,
        transaction: Transaction,
    ) -> Committed | Conflict | Failure:
        """Applies a transaction.

        Fails with `store_unavailable` if it has certainly not taken effect,
        and with `store_outcome_unknown` if it may have.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, name: str, content: bytes) -> Failure | None:
        """Stores an object; replaces an existing object of the name."""

    async def get(self, name: str) -> bytes | Failure:
        """Reads an object; fails with `not_found` if it does not exist."""

    async def delete(self, name: str) -> Failure | None:
        """Deletes an object if it exists."""


class HostList(Protocol):
    """The platform's list of hosts, which lags behind their state."""

    async def fetch(self) -> tuple[Host, ...] | Failure:
        """Reads the list; a host that is not on it is permanently removed."""


__all__ = (
    'Committed',
    'Condition',
    'Conflict',
    'Host',
    'HostList',
    'HostRole',
    'HostState',
    'ObjectStore',
    'Row',
    'TableStore',
    'Transaction',
    'Write',
)
