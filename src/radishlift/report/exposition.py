"""Text exposition of metrics for `/metrics`."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from radishlift.ownership.cell_level import CellLevel
from radishlift.report.burn import burn_report
from radishlift.report.histograms import HistogramTable
from radishlift.report.metrics import MetricsTable
from radishlift.services.host_knowledge import HostKnowledge

CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'

_QUANTILES: Final = (0.5, 0.9, 0.99)


@dataclass(frozen=True, slots=True)
class Sample:
    """One number of a metric with its labels."""

    name: str
    number: float
    labels: dict[str, str] = field(default_factory=dict)


def expose(samples: Iterable[Sample]) -> str:
    """Writes samples as lines; text in labels is escaped."""
    return ''.join(f'{_format_sample(sample)}\n' for sample in samples)


def metrics_samples(metrics: MetricsTable) -> Iterator[Sample]:
    """Yields this daemon's own metrics, not those of the fleet."""
    yield from _histogram_samples(metrics.histograms)
    document = metrics.document
    if document is None:
        return
    report = burn_report(document, (metrics.snapshot(),))
    for line in report.lines:
        for burn in line.windows:
            labels = {'objective': line.objective, 'window': burn.window}
            yield Sample('radishlift_good_events', burn.good, labels)
            yield Sample('radishlift_events', burn.total, labels)
            if burn.burn_rate is not None:
                yield Sample('radishlift_burn_rate', burn.burn_rate, labels)


def host_list_samples(hosts: HostKnowledge) -> Iterator[Sample]:
    """Yields the age of the host list and how often it was too old."""
    if hosts.age_ms is not None:
        yield Sample('radishlift_host_list_age_ms', hosts.age_ms)
    yield Sample('radishlift_host_list_outdated_total', hosts.outdated_count)


def format_samples(cell_level: CellLevel) -> Iterator[Sample]:
    """Yields the level in use and the partitions that daemons can't read."""
    yield Sample('radishlift_cell_format_level', cell_level.level)
    for row in cell_level.formats():
        yield Sample(
            'radishlift_declined_partitions',
            len(row.declined),
            {'daemon': row.daemon_id},
        )


def _histogram_samples(histograms: HistogramTable) -> Iterator[Sample]:
    yield Sample(
        'radishlift_dropped_observations_total',
        histograms.dropped_count,
    )
    for key in histograms.subjects():
        labels = {'subject': key[0], 'indicator': key[1]}
        for quantile in _QUANTILES:
            duration_ms = histograms.quantile_ms(key, quantile)
            if duration_ms is not None:
                quantile_labels = {**labels, 'quantile': str(quantile)}
                yield Sample(
                    'radishlift_duration_ms',
                    duration_ms,
                    quantile_labels,
                )
        count = histograms.count(key)
        yield Sample('radishlift_duration_ms_count', count, labels)


def _format_sample(sample: Sample) -> str:
    labels = ','.join(
        f'{name}="{_escape(text)}"' for name, text in sample.labels.items()
    )
    braced = f'{{{labels}}}' if labels else ''
    return f'{sample.name}{braced} {sample.number:g}'


def _escape(text: str) -> str:
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')


__all__ = (
    'CONTENT_TYPE',
    'Sample',
    'expose',
    'format_samples',
    'metrics_samples',
)
