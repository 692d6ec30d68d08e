"""Tracks holders that wait for a share and creates hints to other holders."""

from collections.abc import Iterable
from typing import Final

from radishlift.core.ids import PartitionId, TeamName
from radishlift.quotas.amounts import Amounts
from radishlift.quotas.granting import fair_share
from radishlift.quotas.ledger import TeamLedger
from radishlift.quotas.messages import ShareAsk, ShareHint

WAITING_TIMEOUT_MS: Final = 10_000
"""A holder without a request for this long no longer waits. This is twice the
longest delay between its requests."""
MAX_HINTS_COUNT: Final = 4
"""Limit of hints for one team at a time; bounds the messages at 550 teams."""


class Contention:
    """Holders that wait for shares of teams whose homes are on this daemon.

    Not journaled: after a takeover the holders repeat their requests within
    seconds.
    """

    def __init__(self, hint_interval_ms: int) -> None:
        self._hint_interval_ms = hint_interval_ms
        self._waiting: dict[TeamName, dict[PartitionId, int]] = {}
        self._next_hint_ms: dict[TeamName, int] = {}

    def waiting_holders(
        self, team: TeamName, now_ms: int
    ) -> frozenset[PartitionId]:
        """Returns the holders that wait for a share of a team."""
        end_times_ms = self._waiting.get(team)
        if not end_times_ms:
            return frozenset()
        expired = [
            holder
            for holder, end_ms in end_times_ms.items()
            if end_ms <= now_ms
        ]
        for holder in expired:
            del end_times_ms[holder]
        if not end_times_ms:
            self._waiting.pop(team)
            self._next_hint_ms.pop(team, None)
        return frozenset(end_times_ms)

    def update_waiting(
        self,
        holder: PartitionId,
        ask: ShareAsk,
        is_refused: bool,
        now_ms: int,
    ) -> None:
        """Updates whether a holder waits after its request."""
        if is_refused:
            end_times_ms = self._waiting.setdefault(ask.team, {})
            end_times_ms[holder] = now_ms + WAITING_TIMEOUT_MS
        elif ask.team in self._waiting:
            self._waiting[ask.team].pop(holder, None)

    def hints_to_waiting(
        self,
        team: TeamName,
        holder: PartitionId,
    ) -> list[ShareHint]:
        """Returns hints to waiting holders that a share was given back."""
        waiting = list(self._waiting.get(team, {}))
        other_holders = [other for other in waiting if other != holder]
        return [
            ShareHint(other, team) for other in other_holders[:MAX_HINTS_COUNT]
        ]

    def hints_to_holders(
        self,
        team: TeamName,
        ledger: TeamLedger,
        quota: Amounts,
        uncounted: Iterable[PartitionId],
        now_ms: int,
    ) -> list[ShareHint]:
        """Returns hints to the holders that others wait for.

        These are the largest holders above the fair share, and the holders
        that have not reported their use. Returns none if the last hints for
        the team are less than `hint_interval_ms` old.
        """
        if now_ms < self._next_hint_ms.get(team, 0):
            return []
        self._next_hint_ms[team] = now_ms + self._hint_interval_ms
        waiting = self.waiting_holders(team, now_ms)
        fair = fair_share(quota, ledger, waiting)
        above_fair = [
            (entry.share, holder)
            for holder, entry in ledger.shares.items()
            if any(
                quota[dimension] and entry.share[dimension] > fair[dimension]
                for dimension in range(3)
            )
        ]
        largest_holders = sorted(above_fair, reverse=True)[:MAX_HINTS_COUNT]
        hints = [
            ShareHint(holder, team, True, fair) for _, holder in largest_holders
        ]
        return hints + [ShareHint(holder, team) for holder in uncounted]


__all__ = ('Contention',)
