"""Settings of the placement engine."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, section


@section('placement')
@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Budgets and limits of the placement engine.

    `budget_ms` limits the computing time of a tick. An ended job is kept for
    `remember_ended_ms`, so that a repeated submission is recognised; at most
    `remember_ended_count` ended jobs are kept. A failed task starts again
    after `retry_delay_ms`, doubled with each failure up to
    `max_retry_delay_ms` and shortened by up to a half at random.
    """

    budget_ms: float = bounded(5.0, 0.1, 1_000)
    remember_ended_ms: int = bounded(86_400_000, 0, 604_800_000)
    remember_ended_count: int = bounded(2_500, 0, 1_000_000)
    retry_delay_ms: int = bounded(1_000, 0, 3_600_000)
    max_retry_delay_ms: int = bounded(300_000, 0, 86_400_000)


__all__ = ('PlacementSettings',)
