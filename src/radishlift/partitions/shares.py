"""The quota shares of one open partition, as holder and as home."""

from random import Random

from radishlift.config.document import ConfigDocument, Team
from radishlift.core.ids import ConfigVersion, TeamName
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.states import PartitionStates
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.rules import team_usage_with_holds
from radishlift.quotas.amounts import Amounts, demand_amounts
from radishlift.quotas.contention import Contention
from radishlift.quotas.holder import ShareHolder
from radishlift.quotas.holding import TeamDemand
from radishlift.quotas.home import TeamHome
from radishlift.quotas.messages import ShareAsk, ShareHint
from radishlift.quotas.settings import QuotaSettings


class PartitionShares:
    """Joins the shares of a partition to its engine and tables."""

    def __init__(
        self,
        states: PartitionStates,
        engine: PlacementEngine,
        settings: QuotaSettings,
        claim: OwnerClaim,
    ) -> None:
        self._tables = states.placement.tables
        self._engine = engine
        self.holder = ShareHolder(
            settings,
            Random(f'{claim.partition_id} {claim.epoch}'),
            engine.quotas.unblock_team,
        )
        self.home = TeamHome(
            states.quota_ledger,
            Contention(settings.hint_interval_ms),
        )
        self.document_version = ConfigVersion(0)
        self._serial = 0
        self._teams: dict[TeamName, Team] | None = None
        engine.quotas.use_shares(self.holder.limits)

    def use_document(self, document: ConfigDocument) -> None:
        """Takes over the quotas of a configuration."""
        # Other changes, about one a second, don't matter to homes.
        if document.teams != self._teams:
            self._teams = document.teams
            self.document_version = document.version
        self.holder.apply_teams(document.teams, self.use_of)

    def use_of(self, team: TeamName) -> Amounts:
        """Returns what a team uses in this partition."""
        return team_usage_with_holds(self._tables, team)

    def plan(self, now_ms: int) -> list[ShareAsk]:
        """Returns the asks that are due."""
        demands = {
            team: TeamDemand(
                demand_amounts(demand.wanted),
                demand_amounts(demand.unit),
            )
            for team, demand in self._engine.quotas.demands().items()
        }
        return self.holder.plan_asks(now_ms, self.use_of, demands)

    def take_hint(self, hint: ShareHint, now_ms: int) -> None:
        """Follows a hint of the home of a team."""
        self.holder.apply_hint(hint, self.use_of, now_ms)

    def next_serial(self) -> int:
        """Numbers the messages of this owner."""
        self._serial += 1
        return self._serial


__all__ = ('PartitionShares',)
