"""Holders that wait for a share, and hints to those that could help."""

from collections.abc import Iterable
from typing import Final

from radishlift.core.ids import PartitionId, TeamName
from radishlift.quotas.amounts import Amounts
from radishlift.quotas.granting import fair_share
from radishlift.quotas.ledger import TeamLedger
from radishlift.quotas.messages import ShareAsk, ShareHint

WAITING_MS: Final = 10_000
"""A holder that has not asked for this long does not wait any more; it is
twice the longest delay between its asks."""
HINTS_COUNT: Final = 4
"""Most hints for one team at a time, which bounds the messages at 550 teams."""


class Contention:
    """Who waits for which team at the homes of this daemon.

    Not journaled: after a takeover holders ask again within seconds.
    """

    def __init__(self, hint_interval_ms: int) -> None:
        self._hint_interval_ms = hint_interval_ms
        self._waiting: dict[TeamName, dict[PartitionId, int]] = {}
        self._next_hint_ms: dict[TeamName, int] = {}

    def waiting(self, team: TeamName, now_ms: int) -> frozenset[PartitionId]:
        """Returns the holders that wait for a team."""
        known = self._waiting.get(team)
        if not known:
            return frozenset()
        ended = [holder for holder, ends in known.items() if ends <= now_ms]
        for holder in ended:
            del known[holder]
        if not known:
            self._waiting.pop(team)
            self._next_hint_ms.pop(team, None)
        return frozenset(known)

    def note(
        self,
        holder: PartitionId,
        ask: ShareAsk,
        is_refused: bool,
        now_ms: int,
    ) -> None:
        """Notes whether a holder waits after its ask."""
        if is_refused:
            known = self._waiting.setdefault(ask.team, {})
            known[holder] = now_ms + WAITING_MS
        elif ask.team in self._waiting:
            self._waiting[ask.team].pop(holder, None)

    def hints_to_waiting(
        self,
        team: TeamName,
        holder: PartitionId,
    ) -> list[ShareHint]:
        """Returns hints that a holder has given something back."""
        first = list(self._waiting.get(team, {}))
        others = [one for one in first if one != holder]
        return [ShareHint(one, team) for one in others[:HINTS_COUNT]]

    def hints_to_holders(
        self,
        team: TeamName,
        ledger: TeamLedger,
        quota: Amounts,
        uncounted: Iterable[PartitionId],
        now_ms: int,
    ) -> list[ShareHint]:
        """Returns hints to those that others wait for, at intervals.

        They are the largest holders above the fair part, and those that have
        not told yet what they use.
        """
        if now_ms < self._next_hint_ms.get(team, 0):
            return []
        self._next_hint_ms[team] = now_ms + self._hint_interval_ms
        waiting = self.waiting(team, now_ms)
        fair = fair_share(quota, ledger, waiting)
        above = [
            (known.share, holder)
            for holder, known in ledger.shares.items()
            if any(
                quota[place] and known.share[place] > fair[place]
                for place in range(3)
            )
        ]
        largest = sorted(above, reverse=True)[:HINTS_COUNT]
        hints = [ShareHint(one, team, True, fair) for _, one in largest]
        return hints + [ShareHint(one, team) for one in uncounted]


__all__ = ('Contention',)
