"""Answers the share requests of holders at the home of a team; does no I/O."""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from radishlift.config.document import ConfigDocument
from radishlift.core.ids import PartitionId, TeamName
from radishlift.quotas.amounts import (
    NO_AMOUNTS,
    Amounts,
    elementwise_min,
    limited_mask,
    quota_amounts,
)
from radishlift.quotas.contention import Contention
from radishlift.quotas.granting import granted_share
from radishlift.quotas.ledger import (
    QuotaLedger,
    ShareChanged,
    TeamLimited,
    is_newer,
)
from radishlift.quotas.messages import (
    ShareAsk,
    ShareHint,
    SyncShares,
    TeamShare,
)


@dataclass(slots=True)
class HomeAnswer:
    """The records that were applied, the shares, and hints to send.

    The shares may be sent only after the records are journaled.
    """

    records: list[Any] = field(default_factory=list)
    shares: list[TeamShare] = field(default_factory=list)
    hints: list[ShareHint] = field(default_factory=list)


class TeamHome:
    """Grants shares of the teams whose home is one partition."""

    def __init__(self, ledger: QuotaLedger, contention: Contention) -> None:
        self._ledger = ledger
        self._contention = contention

    def apply_document(self, document: ConfigDocument) -> list[Any]:
        """Updates which teams of the ledger have limits; returns records."""
        records: list[Any] = []
        for name in self._ledger.teams:
            self._update_limits(name, _quota_of(document, name), records)
        return records

    def answer(
        self,
        request: SyncShares,
        document: ConfigDocument,
        partitions: Collection[PartitionId],
        now_ms: int,
    ) -> HomeAnswer:
        """Applies the requests of a holder that are not outdated."""
        answer = HomeAnswer()
        for ask in request.asks:
            quota = _quota_of(document, ask.team)
            self._update_limits(ask.team, quota, answer.records)
            ledger = self._ledger.team(ask.team)
            before = ledger.share_of(request.holder)
            entry = ledger.shares.get(request.holder)
            change = _make_change(request, ask)
            if entry is None or is_newer(entry, change):
                self._apply(change, answer.records)
                uncounted = self._uncounted(ask.team, partitions)
                # A home with an older configuration may not know a lower
                # quota.
                is_current = document.version >= request.document_version
                share = ask.keep
                if is_current and not uncounted:
                    share = self._grant(request, ask, quota, now_ms, answer)
                is_over = not is_current or self._is_over(ask.team, quota)
                answer.shares.append(TeamShare(ask.team, share, is_over))
                answer.hints += self._make_hints(
                    request.holder,
                    ask,
                    quota,
                    uncounted,
                    now_ms,
                )
                if elementwise_min(before, share) != before:
                    answer.hints += self._contention.hints_to_waiting(
                        ask.team,
                        request.holder,
                    )
        return answer

    def _make_hints(
        self,
        holder: PartitionId,
        ask: ShareAsk,
        quota: Amounts,
        uncounted: Collection[PartitionId],
        now_ms: int,
    ) -> list[ShareHint]:
        ledger = self._ledger.team(ask.team)
        is_refused = any(ask.wanted) and ledger.share_of(holder) == ask.keep
        self._contention.update_waiting(holder, ask, is_refused, now_ms)
        if not is_refused:
            return []
        return self._contention.hints_to_holders(
            ask.team,
            ledger,
            quota,
            uncounted,
            now_ms,
        )

    def _grant(
        self,
        request: SyncShares,
        ask: ShareAsk,
        quota: Amounts,
        now_ms: int,
        answer: HomeAnswer,
    ) -> Amounts:
        # A holder with an older configuration may not enforce all limits yet.
        if not any(quota) or limited_mask(quota) & ~ask.limited:
            return ask.keep
        ledger = self._ledger.team(ask.team)
        share = granted_share(
            quota,
            ledger,
            request.holder,
            ask,
            self._contention.waiting_holders(ask.team, now_ms),
        )
        if share != ask.keep:
            # Replaces the record of the change that was just applied.
            answer.records.pop()
            grown = _make_change(request, ask, share)
            ledger.shares[request.holder] = grown
            answer.records.append(grown)
        return share

    def _is_over(self, name: TeamName, quota: Amounts) -> bool:
        total = self._ledger.team(name).total()
        return any(
            limit and part > limit
            for part, limit in zip(total, quota, strict=True)
        )

    def _uncounted(
        self,
        name: TeamName,
        partitions: Collection[PartitionId],
    ) -> list[PartitionId]:
        ledger = self._ledger.team(name)
        return [
            partition_id
            for partition_id in partitions
            if partition_id not in ledger.counted
        ]

    def _update_limits(
        self,
        name: TeamName,
        quota: Amounts,
        records: list[Any],
    ) -> None:
        mask = limited_mask(quota)
        before = self._ledger.team(name).limited
        if mask != before:
            self._apply(
                TeamLimited(name, mask, bool(mask & ~before)),
                records,
            )

    def _apply(self, change: Any, records: list[Any]) -> None:
        self._ledger.apply(change)
        records.append(change)


def _quota_of(document: ConfigDocument, name: TeamName) -> Amounts:
    team = document.teams.get(name)
    return NO_AMOUNTS if team is None else quota_amounts(team)


def _make_change(
    request: SyncShares,
    ask: ShareAsk,
    share: Amounts | None = None,
) -> ShareChanged:
    return ShareChanged(
        ask.team,
        request.holder,
        request.epoch,
        request.serial,
        ask.keep if share is None else share,
        ask.limited,
    )


__all__ = ('HomeAnswer', 'TeamHome')
