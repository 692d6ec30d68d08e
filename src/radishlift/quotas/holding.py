"""The share of one team in one partition, as its owner knows it."""

from dataclasses import dataclass
from random import Random
from typing import Final

from radishlift.core.ids import TeamName
from radishlift.quotas.amounts import (
    NO_AMOUNTS,
    Amounts,
    elementwise_max,
    elementwise_min,
)
from radishlift.quotas.messages import ShareAsk
from radishlift.quotas.settings import QuotaSettings

IDLE_DIVISOR: Final = 8
"""Up to an eighth of a share may be idle, so that a team whose use varies
does not return and ask again in each window. Hints take back the rest."""


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """What waits for a quota; `unit` is the demand of what goes first."""

    wanted: Amounts
    unit: Amounts


@dataclass(slots=True)
class Holding:
    """A share and the state of its exchange with the home.

    `share` is at most what the home has journaled. `pending` is the latest
    ask until its answer. With `is_lowered` a part was given up that the home
    does not know of. With `is_frozen` nothing starts until the home has said
    that all holders together have no more than the quota. `sampled` is what
    was used when the window began.
    """

    limited_mask: int
    share: Amounts
    quota: Amounts
    is_frozen: bool = True
    is_lowered: bool = True
    pending: ShareAsk | None = None
    next_ask_ms: int = 0
    delay_ms: int = 0
    sampled_use: Amounts = NO_AMOUNTS
    cap: Amounts | None = None
    cap_ends_ms: int = 0

    def limit(self) -> Amounts:
        """Returns what may be used in the limited dimensions."""
        if self.is_frozen:
            return NO_AMOUNTS
        upper_bound = (
            self.share
            if self.cap is None
            else elementwise_min(self.share, self.cap)
        )
        return (
            min(upper_bound[0], self.quota[0] or upper_bound[0]),
            min(upper_bound[1], self.quota[1] or upper_bound[1]),
            min(upper_bound[2], self.quota[2] or upper_bound[2]),
        )

    def can_use_more(self, demand: TeamDemand) -> bool:
        """Tells whether a cap leaves room for one more unit."""
        if self.cap is None:
            return True
        return all(
            self.share[dimension] + demand.unit[dimension]
            <= self.cap[dimension]
            for dimension in range(3)
            if self.quota[dimension]
        )

    def is_idle(self, kept: Amounts) -> bool:
        """Tells whether enough is unused to give it back."""
        return any(
            self.quota[dimension]
            and share - kept[dimension] > share // IDLE_DIVISOR
            for dimension, share in enumerate(self.share)
        )

    def reduce_to(self, kept: Amounts) -> bool:
        """Gives up what exceeds an amount; tells whether that is any."""
        lowered = elementwise_min(self.share, kept)
        if lowered == self.share:
            return False
        self.share = lowered
        self.is_lowered = True
        return True

    def sample(self, used: Amounts) -> Amounts:
        """Begins a window; returns the most used at its ends so far."""
        kept = elementwise_max(self.sampled_use, used)
        self.sampled_use = used
        return kept

    def back_off(
        self,
        now_ms: int,
        settings: QuotaSettings,
        random: Random,
    ) -> None:
        """Delays the next ask, exponentially and with jitter."""
        doubled_ms = max(settings.retry_interval_ms, 2 * self.delay_ms)
        self.delay_ms = min(doubled_ms, settings.max_retry_interval_ms)
        jitter = 0.5 + random.random() / 2
        self.next_ask_ms = now_ms + int(self.delay_ms * jitter)

    def reset_delay(self) -> None:
        """Lets the next ask go at once."""
        self.delay_ms = 0
        self.next_ask_ms = 0

    def make_ask(self, team: TeamName, demand: TeamDemand | None) -> ShareAsk:
        """Forms the next ask, which replaces the pending one."""
        wanted = NO_AMOUNTS if demand is None else demand.wanted
        unit = NO_AMOUNTS if demand is None else demand.unit
        self.pending = ShareAsk(
            team, self.share, self.limited_mask, wanted, unit
        )
        return self.pending


__all__ = ('Holding', 'TeamDemand')
