"""Share of one team in one partition, as known to the partition's owner."""

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
"""Up to an eighth of a share may be idle, so that a team whose use varies does
not return and request it again in each window. A hint of the home reclaims
that idle part."""


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """Demand that waits for a quota.

    `unit` is the demand of the first waiting task or gang.
    """

    wanted: Amounts
    unit: Amounts


@dataclass(slots=True)
class Holding:
    """A share and the state of its synchronization with the home.

    `share` is at most what the home has journaled. `pending` is the latest
    request until its answer. `is_lowered` means that a part was given up and
    the home does not know it yet. `is_frozen` means that nothing starts until
    the home has confirmed that all holders together have no more than the
    quota. `sampled_use` is what was used at the start of the window, or a
    larger share granted since. `cap` limits the use until `cap_ends_ms`.
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
        """Returns whether the cap, if any, allows one more unit."""
        if self.cap is None:
            return True
        return all(
            self.share[dimension] + demand.unit[dimension]
            <= self.cap[dimension]
            for dimension in range(3)
            if self.quota[dimension]
        )

    def is_idle(self, kept: Amounts) -> bool:
        """Returns whether enough of the share is unused to give it back."""
        return any(
            self.quota[dimension]
            and share - kept[dimension] > share // IDLE_DIVISOR
            for dimension, share in enumerate(self.share)
        )

    def reduce_to(self, kept: Amounts) -> bool:
        """Gives up what exceeds an amount; returns whether anything did."""
        lowered = elementwise_min(self.share, kept)
        if lowered == self.share:
            return False
        self.share = lowered
        self.is_lowered = True
        return True

    def sample(self, used: Amounts) -> Amounts:
        """Starts a window; returns the larger use of the last two samples."""
        kept = elementwise_max(self.sampled_use, used)
        self.sampled_use = used
        return kept

    def back_off(
        self,
        now_ms: int,
        settings: QuotaSettings,
        random: Random,
    ) -> None:
        """Delays the next request by an exponential delay with jitter."""
        doubled_ms = max(settings.retry_interval_ms, 2 * self.delay_ms)
        self.delay_ms = min(doubled_ms, settings.max_retry_interval_ms)
        jitter = 0.5 + random.random() / 2
        self.next_ask_ms = now_ms + int(self.delay_ms * jitter)

    def reset_delay(self) -> None:
        """Resets the delay, so that the next request is due at once."""
        self.delay_ms = 0
        self.next_ask_ms = 0

    def make_ask(self, team: TeamName, demand: TeamDemand | None) -> ShareAsk:
        """Creates the next request, which replaces the pending one."""
        wanted = NO_AMOUNTS if demand is None else demand.wanted
        unit = NO_AMOUNTS if demand is None else demand.unit
        self.pending = ShareAsk(
            team, self.share, self.limited_mask, wanted, unit
        )
        return self.pending


__all__ = ('Holding', 'TeamDemand')
