"""Journaled shares of the teams whose home is this partition."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, ClassVar

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import Epoch, PartitionId, TeamName
from radishlift.journal.records import record
from radishlift.quotas.amounts import NO_AMOUNTS, Amounts, add


@record('share_changed')
@dataclass(frozen=True, slots=True)
class ShareChanged:
    """The share of a holder, changed on its own request.

    `limited` is a bit mask of the dimensions whose limits the holder enforces.
    """

    team: TeamName
    holder: PartitionId
    epoch: Epoch
    serial: int
    share: Amounts
    limited: int


@record('team_limited')
@dataclass(frozen=True, slots=True)
class TeamLimited:
    """The limited dimensions of a team changed.

    `is_uncounted` means that a limit is new: the use of each holder in that
    dimension is unknown until the holder reports it.
    """

    team: TeamName
    limited: int
    is_uncounted: bool


@dataclass(slots=True)
class TeamLedger:
    """The shares of one team; `counted` holders enforce all its limits."""

    limited: int = 0
    shares: dict[PartitionId, ShareChanged] = field(default_factory=dict)
    counted: set[PartitionId] = field(default_factory=set)

    def share_of(self, holder: PartitionId) -> Amounts:
        """Returns the share of a holder, or zero amounts without one."""
        entry = self.shares.get(holder)
        return NO_AMOUNTS if entry is None else entry.share

    def total(self) -> Amounts:
        """Returns the sum of all shares."""
        total = NO_AMOUNTS
        for entry in self.shares.values():
            total = add(total, entry.share)
        return total


class QuotaLedger:
    """The `JournaledState` of a home.

    An entry is at least what its holder may use: it shrinks only after the
    holder has stopped using the rest, and grows before the holder gets the
    answer. So the sum of what holders use is at most the sum of the entries.
    """

    record_types: ClassVar[tuple[type, ...]] = (ShareChanged, TeamLimited)

    def __init__(self) -> None:
        self.teams: dict[TeamName, TeamLedger] = {}

    def team(self, name: TeamName) -> TeamLedger:
        """Returns the ledger of a team, or an empty one if it has none."""
        return self.teams.get(name) or TeamLedger()

    def apply(self, change: Any) -> None:
        """Applies one record; ignores one older than its holder's entry."""
        ledger = self.teams.setdefault(change.team, TeamLedger())
        match change:
            case TeamLimited():
                ledger.limited = change.limited
                if change.is_uncounted:
                    ledger.counted.clear()
            case ShareChanged():
                entry = ledger.shares.get(change.holder)
                if entry is not None and not is_newer(entry, change):
                    return
                ledger.shares[change.holder] = change
                if change.limited & ledger.limited == ledger.limited:
                    ledger.counted.add(change.holder)

    def dump(self) -> Any:
        """Returns the state as plain data for a snapshot."""
        return [
            {
                'team': name,
                'limited': ledger.limited,
                'counted': sorted(ledger.counted),
                'shares': list(_dump_shares(ledger)),
            }
            for name, ledger in sorted(self.teams.items())
        ]

    def load(self, plain: Any) -> None:
        """Replaces the state by that of a snapshot."""
        self.teams = {}
        for stored in plain:
            ledger = TeamLedger(stored['limited'])
            ledger.counted = set(stored['counted'])
            for share in stored['shares']:
                parsed = read_plain(share, ShareChanged)
                if isinstance(parsed, Failure):
                    raise ValueError(parsed.reason)
                ledger.shares[parsed.holder] = parsed
            self.teams[TeamName(stored['team'])] = ledger


def is_newer(entry: ShareChanged, change: ShareChanged) -> bool:
    """Returns whether a change was requested after a known entry."""
    before = (entry.epoch, entry.serial)
    return (change.epoch, change.serial) > before


def _dump_shares(ledger: TeamLedger) -> Iterator[Any]:
    for _, entry in sorted(ledger.shares.items()):
        yield dump_plain(entry)


__all__ = (
    'QuotaLedger',
    'ShareChanged',
    'TeamLedger',
    'TeamLimited',
    'is_newer',
)
