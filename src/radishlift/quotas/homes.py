"""Which partition is the home of a team.

The home must not move with each change of the configuration, since two homes
of a team could each grant the whole quota. One row names the partitions that
are homes. It is written once, under the condition that it is absent, and never
changes; a partition that leaves the configuration keeps an owner and so
remains a home.
"""

from typing import Any, Final

from radishlift.config.api import ConfigView
from radishlift.core.errors import Failure
from radishlift.core.ids import PartitionId, TeamName
from radishlift.core.logs import log_event
from radishlift.ownership.spreading import home_partition
from radishlift.platform.api import (
    Condition,
    Conflict,
    Row,
    TableStore,
    Transaction,
    Write,
)

QUOTA_HOMES_TABLE: Final = 'quota_homes'
HOMES_KEY: Final = 'cell'


class QuotaHomes:
    """The homes, read from the table service once."""

    def __init__(self, store: TableStore, config: ConfigView) -> None:
        self._store = store
        self._config = config
        self._partitions: tuple[PartitionId, ...] = ()
        self._home_of: dict[TeamName, PartitionId] = {}

    @property
    def is_known(self) -> bool:
        """Tells whether the row was read."""
        return bool(self._partitions)

    def home_of(self, team: TeamName) -> PartitionId | None:
        """Returns the home of a team once the row is known."""
        known = self._home_of.get(team)
        if known is not None:
            return known
        home = home_partition(team, self._partitions)
        if home is not None:
            self._home_of[team] = home
        return home

    async def load(self) -> None:
        """Reads the row, or writes it if it is absent.

        A lost answer is resolved by the next call, which reads first.
        """
        row = await self._store.read(QUOTA_HOMES_TABLE, HOMES_KEY)
        if isinstance(row, Failure):
            return
        if row.version:
            self._take(row.value)
            return
        document = self._config.current()
        if document is None or not document.partitions:
            return
        value = {'partitions': sorted(document.partitions)}
        outcome = await self._store.commit(
            Transaction(
                (Condition(QUOTA_HOMES_TABLE, HOMES_KEY, 0),),
                (Write(QUOTA_HOMES_TABLE, HOMES_KEY, value),),
            )
        )
        if isinstance(outcome, Failure):
            log_event('quota_homes_not_written', reason=outcome.reason)
        elif isinstance(outcome, Conflict):
            self._take_conflict(outcome.rows[0])
        else:
            self._take(value)

    def _take_conflict(self, row: Row) -> None:
        if row.version:
            self._take(row.value)

    def _take(self, value: Any) -> None:
        match value:
            case {'partitions': [*names]} if names:
                self._partitions = tuple(PartitionId(name) for name in names)
                self._home_of.clear()
            case _:
                log_event('bad_quota_homes', value=value)


__all__ = ('QUOTA_HOMES_TABLE', 'QuotaHomes')
