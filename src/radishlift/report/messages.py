"""Messages that carry the metrics of one daemon to another.

A snapshot is bounded by the numbers of histograms and objectives. Only the
sender's own counts are in it, so that merging counts nothing twice.
"""

from dataclasses import dataclass

from radishlift.report.windows import EventCount
from radishlift.wire.messages import message


@dataclass(frozen=True, slots=True)
class HistogramSnapshot:
    """A histogram of milliseconds, in hdrhistogram's own encoding."""

    subject: str
    indicator: str
    encoded: str


@dataclass(frozen=True, slots=True)
class ObjectiveCounts:
    """Counts of an objective; merged only if its definition is the same."""

    name: str
    definition: str
    covered_ms: int
    windows: tuple[EventCount, ...]


@message('metrics_fetch')
@dataclass(frozen=True, slots=True)
class MetricsFetch:
    """Asks for a `MetricsSnapshot`."""


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
