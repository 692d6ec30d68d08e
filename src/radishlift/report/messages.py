"""Messages that carry the metrics of one daemon to another.

The size of a snapshot is limited by the numbers of histograms and objectives.
It has only the sender's own counts, so that a merge counts no event twice.
"""

from dataclasses import dataclass

from radishlift.report.windows import EventCount
from radishlift.wire.messages import message


@dataclass(frozen=True, slots=True)
class HistogramSnapshot:
    """A histogram of durations in ms, in the encoding of hdrhistogram."""

    subject: str
    indicator: str
    encoded: str


@dataclass(frozen=True, slots=True)
class ObjectiveCounts:
    """Counts of an objective; merged only with those of equal definition."""

    name: str
    definition: str
    covered_ms: int
    windows: tuple[EventCount, ...]


@message('metrics_fetch')
@dataclass(frozen=True, slots=True)
class MetricsFetch:
    """Requests a `MetricsSnapshot`."""


@message('metrics_snapshot')
@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """Metrics of one daemon."""

    histograms: tuple[HistogramSnapshot, ...]
    objectives: tuple[ObjectiveCounts, ...]


__all__ = (
    'HistogramSnapshot',
    'MetricsFetch',
    'MetricsSnapshot',
    'ObjectiveCounts',
)
