"""Messages between the holders of shares and the homes of teams."""

from dataclasses import dataclass

from radishlift.core.ids import ConfigVersion, Epoch, PartitionId, TeamName
from radishlift.quotas.amounts import NO_AMOUNTS, Amounts
from radishlift.wire.messages import message


@dataclass(frozen=True, slots=True)
class ShareAsk:
    """Request of a holder for a share of a team.

    `keep` is the part of its share that the holder keeps; it uses no more
    until it gets the answer. `wanted` is the additional amount. `unit` is the
    smallest useful amount, the demand of one task or gang. `limited` is a bit
    mask of the dimensions whose limits the holder enforces.
    """

    team: TeamName
    keep: Amounts
    limited: int
    wanted: Amounts = NO_AMOUNTS
    unit: Amounts = NO_AMOUNTS


@message('sync_shares')
@dataclass(frozen=True, slots=True)
class SyncShares:
    """Requests of a holder to the home of some teams.

    A message with a higher epoch, or with the same epoch and a higher serial,
    replaces the earlier ones for its teams.
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

    `is_over` means that all holders together may have more than the quota.
    """

    team: TeamName
    share: Amounts
    is_over: bool = False


@message('shares_synced')
@dataclass(frozen=True, slots=True)
class SharesSynced:
    """Answer to the `SyncShares` with the same serial."""

    serial: int
    shares: tuple[TeamShare, ...]


@message('share_hint')
@dataclass(frozen=True, slots=True)
class ShareHint:
    """Informs a holder that others wait, or that a share may be free.

    With `is_wanted_elsewhere` the holder should start nothing above `fair`
    for `hold_back_ms`. A lost hint only delays the exchange of shares.
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
