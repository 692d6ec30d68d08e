"""Quota shares of one partition and its requests to homes; does no I/O."""

from collections.abc import Callable, Collection, Mapping
from random import Random

from radishlift.config.document import Team
from radishlift.core.ids import TeamName
from radishlift.quotas.amounts import (
    Amounts,
    elementwise_max,
    limited_mask,
    quota_amounts,
)
from radishlift.quotas.holding import Holding, TeamDemand
from radishlift.quotas.messages import ShareAsk, ShareHint, TeamShare
from radishlift.quotas.settings import QuotaSettings

Usage = Callable[[TeamName], Amounts]


class ShareHolder:
    """Manages the shares of teams for the owner of a partition.

    A new owner starts with shares equal to what is in use, which is at most
    what the homes have journaled. `limits` is what placement may use of each
    limited team; it grows only by the answer to the latest request or when a
    cap ends.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        random: Random,
        notify_team: Callable[[TeamName], None],
    ) -> None:
        self.limits: dict[TeamName, Amounts] = {}
        self._settings = settings
        self._random = random
        self._notify_team = notify_team
        self._holdings: dict[TeamName, Holding] = {}
        self._unsynced: dict[TeamName, None] = {}
        self._capped: dict[TeamName, None] = {}
        self._waiting: dict[TeamName, Holding] = {}
        self._window_ends_ms = 0

    def apply_teams(self, teams: Mapping[TeamName, Team], used: Usage) -> None:
        """Applies the quotas of a configuration.

        The share for a new limit starts with what is in use. After a quota was
        lowered only what is in use is kept, so that nothing starts before the
        home agrees.
        """
        quotas = {name: quota_amounts(team) for name, team in teams.items()}
        limited = {name: quota for name, quota in quotas.items() if any(quota)}
        for removed in set(self._holdings) - set(limited):
            self._forget(removed)
        for name, quota in limited.items():
            holding = self._holdings.get(name)
            if holding is None:
                mask = limited_mask(quota)
                self._holdings[name] = Holding(mask, used(name), quota)
                self._mark_changed(name)
            elif holding.quota != quota:
                self._change_quota(name, holding, quota, used(name))

    def plan_asks(
        self,
        now_ms: int,
        used: Usage,
        demands: Mapping[TeamName, TeamDemand],
    ) -> list[ShareAsk]:
        """Returns the requests that are due and marks them as pending.

        Reduces shares that were not used recently before the requests report
        that to the homes.
        """
        self._update_caps(now_ms, used)
        for name in _list_ended_demands(self._waiting, demands):
            # Until the home knows that this holder waits no longer, it limits
            # the other holders to their fair shares.
            self._waiting.pop(name).reset_delay()
            self._unsynced[name] = None
        if now_ms >= self._window_ends_ms:
            self._window_ends_ms = now_ms + self._settings.return_after_ms
            self._release_idle(used)
        # A capped holder could not use what it got, and would keep it from
        # other holders.
        demands = {
            name: demand
            for name, demand in demands.items()
            if name in self._holdings
            and self._holdings[name].can_use_more(demand)
        }
        names = dict.fromkeys((*demands, *self._unsynced))
        due = [name for name in names if self._is_due(name, now_ms)]
        asks: list[ShareAsk] = []
        for name in due:
            holding = self._holdings[name]
            if holding.is_frozen:
                holding.reduce_to(used(name))
            asks.append(holding.make_ask(name, demands.get(name)))
        return asks

    def is_lowered(self, asks: Collection[ShareAsk]) -> bool:
        """Returns whether requests give up what the journal may show in use."""
        return any(
            ask.team in self._holdings and self._holdings[ask.team].is_lowered
            for ask in asks
        )

    def apply_answer(
        self,
        asks: Collection[ShareAsk],
        shares: Collection[TeamShare],
        now_ms: int,
    ) -> None:
        """Applies the answers to requests; only to the latest of each team."""
        shares_by_team = {answer.team: answer for answer in shares}
        for ask in asks:
            holding = self._holdings.get(ask.team)
            if holding is None or holding.pending is not ask:
                continue
            holding.pending = None
            answer = shares_by_team.get(ask.team)
            # If a part was given up meanwhile, the home has to get that first.
            if answer is None or holding.share != ask.keep:
                self._unsynced[ask.team] = None
                continue
            self._apply_share(ask, holding, answer, now_ms)

    def apply_failure(self, asks: Collection[ShareAsk], now_ms: int) -> None:
        """Schedules a retry; the home may or may not have the requests."""
        for ask in asks:
            holding = self._holdings.get(ask.team)
            if holding is not None and holding.pending is ask:
                holding.pending = None
                self._unsynced[ask.team] = None
                holding.back_off(now_ms, self._settings, self._random)

    def postpone(self, asks: Collection[ShareAsk]) -> None:
        """Cancels requests that were not sent; they are created again later."""
        for ask in asks:
            holding = self._holdings.get(ask.team)
            if holding is not None and holding.pending is ask:
                holding.pending = None
                self._unsynced[ask.team] = None

    def apply_hint(self, hint: ShareHint, used: Usage, now_ms: int) -> None:
        """Makes the next request due at once.

        If others want the share, also gives up what is not in use and caps the
        share for `hold_back_ms`.
        """
        holding = self._holdings.get(hint.team)
        if holding is None:
            return
        holding.reset_delay()
        self._unsynced[hint.team] = None
        if not hint.is_wanted_elsewhere:
            return
        holding.cap = hint.fair
        holding.cap_ends_ms = now_ms + self._settings.hold_back_ms
        self._capped[hint.team] = None
        holding.reduce_to(used(hint.team))
        self._set_limit(hint.team, holding)

    def _is_due(self, name: TeamName, now_ms: int) -> bool:
        holding = self._holdings.get(name)
        if holding is None or holding.pending is not None:
            return False
        return now_ms >= holding.next_ask_ms

    def _apply_share(
        self,
        ask: ShareAsk,
        holding: Holding,
        answer: TeamShare,
        now_ms: int,
    ) -> None:
        share = answer.share
        is_unfrozen = holding.is_frozen and not answer.is_over
        holding.share = share
        holding.is_frozen = answer.is_over
        holding.is_lowered = False
        self._unsynced.pop(ask.team, None)
        if share != ask.keep:
            holding.sampled_use = elementwise_max(holding.sampled_use, share)
        if share != ask.keep or is_unfrozen:
            self._notify_team(ask.team)
        if holding.is_frozen:
            self._unsynced[ask.team] = None
        is_refused = any(ask.wanted) and share == ask.keep
        if is_refused:
            self._waiting[ask.team] = holding
        else:
            self._waiting.pop(ask.team, None)
        if holding.is_frozen or is_refused:
            holding.back_off(now_ms, self._settings, self._random)
        else:
            holding.reset_delay()
        self._set_limit(ask.team, holding)

    def _change_quota(
        self,
        name: TeamName,
        holding: Holding,
        quota: Amounts,
        in_use: Amounts,
    ) -> None:
        is_lowered = any(
            0 < after < before
            for after, before in zip(quota, holding.quota, strict=True)
        )
        mask = limited_mask(quota)
        if mask & ~holding.limited_mask:
            # An answer to a request with fewer limits must be ignored.
            holding.pending = None
            holding.share = in_use
            holding.is_lowered = True
            holding.is_frozen = True
        elif is_lowered:
            holding.reduce_to(in_use)
            # An answer computed from the old quota must not end the freeze.
            holding.pending = None
        holding.is_frozen |= is_lowered
        holding.limited_mask = mask
        holding.quota = quota
        self._mark_changed(name)

    def _mark_changed(self, name: TeamName) -> None:
        holding = self._holdings[name]
        holding.reset_delay()
        self._unsynced[name] = None
        self._set_limit(name, holding)

    def _release_idle(self, used: Usage) -> None:
        for name in list(self.limits):
            holding = self._holdings[name]
            kept = holding.sample(used(name))
            if holding.pending is None and holding.is_idle(kept):
                holding.reduce_to(kept)
                self._unsynced[name] = None
                self._set_limit(name, holding)

    def _update_caps(self, now_ms: int, used: Usage) -> None:
        for name in list(self._capped):
            holding = self._holdings[name]
            if now_ms >= holding.cap_ends_ms:
                del self._capped[name]
                holding.cap = None
                self._notify_team(name)
            elif holding.pending is None and holding.reduce_to(used(name)):
                holding.reset_delay()
                self._unsynced[name] = None
            self._set_limit(name, holding)

    def _set_limit(self, name: TeamName, holding: Holding) -> None:
        limit = holding.limit()
        if any(limit):
            self.limits[name] = limit
        else:
            self.limits.pop(name, None)

    def _forget(self, name: TeamName) -> None:
        del self._holdings[name]
        self.limits.pop(name, None)
        self._unsynced.pop(name, None)
        self._capped.pop(name, None)
        self._waiting.pop(name, None)


def _list_ended_demands(
    waiting: Collection[TeamName],
    demands: Collection[TeamName],
) -> list[TeamName]:
    """Lists the teams whose last request was refused and has no demand now."""
    return [name for name in waiting if name not in demands]


__all__ = ('ShareHolder', 'Usage')
