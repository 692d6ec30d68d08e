"""Rows of the configuration in the platform's table service."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.services.api import (
    Condition,
    Conflict,
    Row,
    TableStore,
    Transaction,
    Write,
)

CONFIG_TABLE: Final = 'config'
HEAD_TABLE: Final = 'config_head'
HEAD_KEY: Final = 'head'

_VERSION_DIGITS: Final = 12


@dataclass(frozen=True, slots=True)
class ConfigRow:
    """One version of the document and the change that created it.

    `base` is the version that the change was made on, `changed` the changed
    keys by section, `merged` the sections that concurrent changes altered.
    """

    text: str
    who: str
    when_ms: int
    why: str
    nonce: str
    base: ConfigVersion
    changed: dict[str, list[str]]
    merged: list[str]


@dataclass(frozen=True, slots=True)
class HeadRow:
    """The newest version and the nonce of its writer."""

    version: ConfigVersion
    nonce: str


@dataclass(frozen=True, slots=True)
class Head:
    """The head as read; a change is conditional on its `row_version`."""

    version: ConfigVersion
    row_version: int


def version_key(version: ConfigVersion) -> str:
    """Returns the key of a version's row; keys sort in version order."""
    return f'{version:0{_VERSION_DIGITS}d}'


def parse_head(row: Row) -> Head | Failure:
    """Parses a head row; an absent row is version 0."""
    if row.value is None:
        return Head(ConfigVersion(0), 0)
    head = read_plain(row.value, HeadRow)
    if isinstance(head, Failure):
        return Failure(ErrorKind.internal, f'head row: {head.reason}')
    return Head(head.version, row.version)


def as_not_run(failure: Failure) -> Failure:
    """Converts the failure of a read, after which nothing was written.

    An unknown outcome becomes `store_unavailable`, whose outcome is `not_run`.
    """
    if failure.kind is ErrorKind.store_outcome_unknown:
        return Failure(ErrorKind.store_unavailable, failure.reason)
    return failure


async def read_head(store: TableStore) -> Head | Failure:
    """Reads the head; the read may be outdated."""
    row = await store.read(HEAD_TABLE, HEAD_KEY)
    return row if isinstance(row, Failure) else parse_head(row)


async def confirm_head(store: TableStore, head: Head) -> Head | Failure:
    """Returns the current head, even if reads are outdated.

    A transaction that has only conditions is always checked against current
    rows, and a conflict returns the current rows.
    """
    condition = Condition(HEAD_TABLE, HEAD_KEY, head.row_version)
    outcome = await store.commit(Transaction((condition,), ()))
    if isinstance(outcome, Conflict):
        return parse_head(outcome.rows[0])
    if isinstance(outcome, Failure):
        return Failure(ErrorKind.store_unavailable, outcome.reason)
    return head


async def read_version(
    store: TableStore,
    version: ConfigVersion,
) -> ConfigRow | Failure:
    """Reads a version; fails with `not_found` if the read returns no row.

    An outdated read may lack a version that exists.
    """
    row = await store.read(CONFIG_TABLE, version_key(version))
    return row if isinstance(row, Failure) else _parse_version(version, row)


async def read_current_version(
    store: TableStore,
    version: ConfigVersion,
) -> ConfigRow | Failure:
    """Reads a version; `not_found` confirms that it is not stored.

    If a read returns no row, a transaction without writes checks the
    condition that the row is absent against current rows, and returns the row
    if there is one.
    """
    config = await read_version(store, version)
    if not isinstance(config, Failure):
        return config
    if config.kind is not ErrorKind.not_found:
        return config
    condition = Condition(CONFIG_TABLE, version_key(version), 0)
    outcome = await store.commit(Transaction((condition,), ()))
    if isinstance(outcome, Conflict):
        return _parse_version(version, outcome.rows[0])
    return outcome if isinstance(outcome, Failure) else config


def _parse_version(version: ConfigVersion, row: Row) -> ConfigRow | Failure:
    if row.value is None:
        return Failure(ErrorKind.not_found, f'no version {version}')
    config = read_plain(row.value, ConfigRow)
    if isinstance(config, Failure):
        reason = f'version {version}: {config.reason}'
        return Failure(ErrorKind.internal, reason)
    return config


def version_writes(
    version: ConfigVersion,
    row: ConfigRow,
    kept_count: int,
) -> tuple[Write, ...]:
    """Returns the writes of a new version.

    They add its row, update the head and delete the oldest version beyond
    the kept history.
    """
    head = HeadRow(version, row.nonce)
    writes = [
        Write(CONFIG_TABLE, version_key(version), dump_plain(row)),
        Write(HEAD_TABLE, HEAD_KEY, dump_plain(head)),
    ]
    oldest = ConfigVersion(version - kept_count)
    if oldest > 0:
        writes.append(Write(CONFIG_TABLE, version_key(oldest), None))
    return tuple(writes)


__all__ = (
    'CONFIG_TABLE',
    'HEAD_KEY',
    'HEAD_TABLE',
    'ConfigRow',
    'Head',
    'HeadRow',
    'confirm_head',
    'as_not_run',
    'parse_head',
    'read_current_version',
    'read_head',
    'read_version',
    'version_key',
    'version_writes',
)
