"""Metric samples and their text exposition format."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from radishlift.report.histograms import HistogramTable

CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'

_QUANTILES: Final = (0.5, 0.9, 0.99)


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric with its labels."""

    name: str
    number: float
    labels: dict[str, str] = field(default_factory=dict)


def format_exposition(samples: Iterable[Sample]) -> str:
    """Formats samples as lines, with the label values escaped."""
    return ''.join(f'{_format_sample(sample)}\n' for sample in samples)


def histogram_samples(histograms: HistogramTable) -> Iterator[Sample]:
    """Yields quantiles and counts of all histograms."""
    yield Sample(
        'radishlift_dropped_observations_total',
        histograms.dropped_count,
    )
    for key in histograms.sorted_keys():
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


__all__ = ('CONTENT_TYPE', 'Sample', 'format_exposition', 'histogram_samples')
