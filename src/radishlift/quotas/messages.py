"""Messages between the holders of shares and the homes of teams."""

from dataclasses import dataclass

from radishlift.core.ids import ConfigVersion, Epoch, PartitionId, TeamName
from radishlift.quotas.amounts import NO_AMOUNTS, Amounts
from radishlift.wire.messages import message


@dataclass(frozen=True, slots=True)
class ShareAsk:
    """What a holder keeps of its share of a team, and what it wants more.

    `keep` is all that the holder may use until it gets the answer. `unit` is
    the least that is of use, the demand of one task or gang. `limited` has a
    bit for each dimension in which the holder obeys a limit.
    """

    team: TeamName
    keep: Amounts
    limited: int
    wanted: Amounts = NO_AMOUNTS
    unit: Amounts = NO_AMOUNTS


@message('sync_shares')
@dataclass(frozen=True, slots=True)
class SyncShares:
    """Asks of a holder to the home of some teams.

    A message with a higher epoch, or the same and a higher serial, replaces
    the earlier ones for its teams.
    """

    home: PartitionId
    holder: PartitionId
    epoch: Epoch
    serial: int
    document_version: ConfigVersion
    asks: tuple[ShareAsk, ...]


@dataclass(frozen=True, slots=True)
class TeamShare:
    """The share of a team that its home has journaled for a holder.

    With `is_over` all holders together have more than the quota.
    """

    team: TeamName
    share: Amounts
    is_over: bool = False


@message('shares_synced')
@dataclass(frozen=True, slots=True)
class SharesSynced:
    """The answer to the `SyncShares` of the same serial."""

    serial: int
    shares: tuple[TeamShare, ...]


@message('share_hint')
@dataclass(frozen=True, slots=True)
class ShareHint:
    """Tells a holder that others wait, or that something may be free.

    With `is_wanted_elsewhere` the holder should start nothing above `fair`
    for a moment. A hint may be lost; nothing depends on it but the time.
    """

    holder: PartitionId
    team: TeamName
    is_wanted_elsewhere: bool = False
    fair: Amounts = NO_AMOUNTS


__all__ = (
    'ShareAsk',
    'ShareHint',
    'SharesSynced',
    'SyncShares',
    'TeamShare',
)
