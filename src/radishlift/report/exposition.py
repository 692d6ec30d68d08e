"""Samples of this daemon's metrics for `/metrics`."""

from collections.abc import Iterator

from radishlift.ownership.cell_level import CellLevel
from radishlift.report.burn import burn_report
from radishlift.report.metrics import MetricsTable
from radishlift.report.samples import (
    Sample,
    histogram_samples,
)
from radishlift.services.host_knowledge import HostKnowledge


def metrics_samples(metrics: MetricsTable) -> Iterator[Sample]:
    """Yields the metrics of this daemon only."""
    yield from histogram_samples(metrics.histograms)
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
    """Yields the age of the host list and how often it became outdated."""
    if hosts.age_ms is not None:
        yield Sample('radishlift_host_list_age_ms', hosts.age_ms)
    yield Sample('radishlift_host_list_outdated_total', hosts.outdated_count)


def format_level_samples(cell_level: CellLevel) -> Iterator[Sample]:
    """Yields the cell's format level and each daemon's declined partitions.

    A daemon declines a partition that it can't read.
    """
    yield Sample('radishlift_cell_format_level', cell_level.level)
    for row in cell_level.formats():
        yield Sample(
            'radishlift_declined_partitions',
            len(row.declined),
            {'daemon': row.daemon_id},
        )


__all__ = (
    'format_level_samples',
    'metrics_samples',
)
