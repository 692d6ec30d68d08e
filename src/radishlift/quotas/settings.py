"""Settings of the exchange of quota shares."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, section


@section('quotas')
@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Intervals of the exchange of shares.

    Holders check for demand every `sync_interval_ms`. What a partition has not
    used for one to two `return_after_ms` goes back to the team's home. A
    holder that got nothing sends its request again after `retry_interval_ms`,
    doubled each time up to `max_retry_interval_ms`. For `hold_back_ms` after a
    hint that others wait, a holder starts nothing above its fair share and
    immediately returns what it does not use. A home repeats the hint every
    `hint_interval_ms`.
    """

    sync_interval_ms: int = bounded(100, 1, 10_000)
    return_after_ms: int = bounded(1_000, 1, 600_000)
    retry_interval_ms: int = bounded(200, 1, 60_000)
    max_retry_interval_ms: int = bounded(5_000, 1, 600_000)
    hold_back_ms: int = bounded(6_000, 1, 600_000)
    hint_interval_ms: int = bounded(2_000, 1, 600_000)
    call_timeout_ms: int = bounded(2_000, 10, 60_000)


__all__ = ('QuotaSettings',)
