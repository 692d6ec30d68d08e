"""Settings of metrics and reports."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, section


@section('report')
@dataclass(frozen=True, slots=True)
class ReportSettings:
    """Limits of metrics and of the event history.

    A histogram takes 17.4 KB and the windows of an objective 5.2 KB, so that
    the defaults take at most 2.9 MB of the 32 MB of control memory. The
    counts of objectives are saved every `save_interval_ms` if they changed.
    The last `kept_events_count` log events are kept for operators.
    """

    max_histograms_count: int = bounded(128, 1, 512)
    max_objectives_count: int = bounded(128, 1, 512)
    peer_timeout_ms: int = bounded(1_000, 10, 60_000)
    save_interval_ms: int = bounded(60_000, 1_000, 3_600_000)
    kept_events_count: int = bounded(1_000, 10, 10_000)


__all__ = ('ReportSettings',)
