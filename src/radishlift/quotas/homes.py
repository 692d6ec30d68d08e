"""Assigns each team a partition as its home.

The home must not change with the configuration, since two homes of a team
could each grant the whole quota. A partition that is removed from the
configuration keeps an owner and so remains a home.
"""

from typing import Final

from radishlift.config.api import ConfigView
from radishlift.core.ids import PartitionId, TeamName
from radishlift.ownership.fixed_homes import FixedHomes
from radishlift.services.api import TableStore

QUOTA_HOMES_TABLE: Final = 'quota_homes'


class QuotaHomes(FixedHomes):
    """The homes of teams, cached for each team."""

    def __init__(self, store: TableStore, config: ConfigView) -> None:
        super().__init__(store, config, QUOTA_HOMES_TABLE)
        self._known_homes: dict[TeamName, PartitionId] = {}

    def home_of(self, key: str) -> PartitionId | None:
        """Returns the home of a team; None until the row is read."""
        team = TeamName(key)
        known_home = self._known_homes.get(team)
        if known_home is not None:
            return known_home
        home = super().home_of(team)
        if home is not None:
            self._known_homes[team] = home
        return home


__all__ = ('QUOTA_HOMES_TABLE', 'QuotaHomes')
