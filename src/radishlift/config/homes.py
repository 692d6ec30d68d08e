"""The row that lists the home partitions of job ids and idempotency keys.

The row is written once and never changed. A document that removes one of
these partitions is refused: no partition could recognise a repeated job id or
key that is stored there.
"""

from typing import Any, Final

from radishlift.config.changes import ChangeInvalid
from radishlift.config.rows import as_not_run
from radishlift.config.snapshot import Snapshot
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import PartitionId
from radishlift.services.api import (
    Condition,
    Conflict,
    Row,
    TableStore,
    Transaction,
)
from radishlift.settings.sections import SettingsError

JOB_HOMES_TABLE: Final = 'homes'
HOMES_KEY: Final = 'cell'

_REMOVAL_RULE: Final = (
    'to keep it, without racks if need be: it is a home of job ids and '
    'idempotency keys'
)


def parse_homes(row: Row) -> tuple[PartitionId, ...] | Failure:
    """Parses the row of home partitions; an absent row means none."""
    if not row.version:
        return ()
    stored: Any = row.value
    match stored:
        case {'partitions': [str(), *_] as names}:
            return tuple(PartitionId(str(name)) for name in names)
        case _:
            reason = f'{row.table}/{row.key} lists no partitions: {stored!r}'
            return Failure(ErrorKind.internal, reason)


async def check_partition_removal(
    store: TableStore,
    before: Snapshot,
    after: Snapshot,
) -> tuple[Condition, ...] | ChangeInvalid | Failure:
    """Checks that a change removes no home partition.

    Returns the conditions that the write of the change must have, since a
    daemon may write the row in the meantime.
    """
    removed = (
        before.document.partitions.keys() - after.document.partitions.keys()
    )
    if not removed:
        return ()
    row = await _read_current_row(store)
    if isinstance(row, Failure):
        return row
    homes = parse_homes(row)
    if isinstance(homes, Failure):
        return homes
    errors = tuple(
        SettingsError(f'partition:{name}', '', 'removed', _REMOVAL_RULE)
        for name in sorted(removed.intersection(homes))
    )
    if errors:
        return ChangeInvalid(errors)
    return (Condition(JOB_HOMES_TABLE, HOMES_KEY, row.version),)


async def _read_current_row(store: TableStore) -> Row | Failure:
    # A read may be outdated, but conditions are checked against current rows.
    row = await store.read(JOB_HOMES_TABLE, HOMES_KEY)
    if isinstance(row, Failure):
        return as_not_run(row)
    condition = Condition(JOB_HOMES_TABLE, HOMES_KEY, row.version)
    outcome = await store.commit(Transaction((condition,), ()))
    if isinstance(outcome, Conflict):
        return outcome.rows[0]
    return as_not_run(outcome) if isinstance(outcome, Failure) else row


__all__ = (
    'HOMES_KEY',
    'JOB_HOMES_TABLE',
    'check_partition_removal',
    'parse_homes',
)
