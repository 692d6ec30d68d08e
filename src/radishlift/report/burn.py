"""Burn rates of the error budgets of the service-level objectives."""

from collections.abc import Iterable
from dataclasses import dataclass

from radishlift.config.document import ConfigDocument, Objective
from radishlift.core.ids import DaemonId, DepartmentName, ServiceName
from radishlift.report.histograms import HistogramTable
from radishlift.report.messages import MetricsSnapshot, ObjectiveCounts
from radishlift.report.metrics import definition_of
from radishlift.report.windows import WINDOWS, EventCount


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Events of a window and the burn rate of the error budget.

    At a burn rate of 1 the budget is exactly used up over the objective's
    period. The rate is None without events.
    """

    window: str
    good: int
    total: int
    burn_rate: float | None


@dataclass(frozen=True, slots=True)
class BurnLine:
    """One objective with its burn rates and durations.

    `budget_left_ratio` is for the longest window and negative once the budget
    is exceeded. `covered_ms` is the longest time over which a daemon has
    counted; a daemon that restarts without saved counts starts at zero.
    """

    objective: str
    department: str
    subject: str
    indicator: str
    limit_ms: int
    target_ratio: float
    budget_left_ratio: float | None
    windows: tuple[WindowBurn, ...]
    p50_ms: int | None
    p99_ms: int | None
    covered_ms: int


@dataclass(frozen=True, slots=True)
class BurnReport:
    """All objectives by department; `missing` daemons did not reply."""

    config_version: int
    lines: tuple[BurnLine, ...]
    missing: tuple[DaemonId, ...]


def burn_report(
    document: ConfigDocument,
    snapshots: Iterable[MetricsSnapshot],
    missing: Iterable[DaemonId] = (),
) -> BurnReport:
    """Merges the daemons' metrics into a report on all objectives."""
    collected = tuple(snapshots)
    histograms = _merge_histograms(collected)
    lines = [
        _burn_line(document, name, objective, collected, histograms)
        for name, objective in document.objectives.items()
    ]
    lines.sort(key=lambda line: (line.department, line.subject, line.objective))
    return BurnReport(document.version, tuple(lines), tuple(missing))


def burn_rate(count: EventCount, target_ratio: float) -> float | None:
    """Returns the ratio of the bad-event share to the allowed share.

    None without events.
    """
    if not count.total:
        return None
    bad_ratio = (count.total - count.good) / count.total
    return bad_ratio / (1 - target_ratio)


def _burn_line(
    document: ConfigDocument,
    name: str,
    objective: Objective,
    snapshots: tuple[MetricsSnapshot, ...],
    histograms: HistogramTable,
) -> BurnLine:
    counted = _matching_counts(name, objective, snapshots)
    windows = _merge_windows(counted, objective.target_ratio)
    longest_rate = windows[-1].burn_rate
    key = (objective.subject, objective.indicator)
    return BurnLine(
        name,
        _department_of(document, objective.subject),
        objective.subject,
        objective.indicator,
        objective.limit_ms,
        objective.target_ratio,
        None if longest_rate is None else 1 - longest_rate,
        windows,
        histograms.quantile_ms(key, 0.5),
        histograms.quantile_ms(key, 0.99),
        max((counts.covered_ms for counts in counted), default=0),
    )


def _matching_counts(
    name: str,
    objective: Objective,
    snapshots: tuple[MetricsSnapshot, ...],
) -> list[ObjectiveCounts]:
    definition = definition_of(objective)
    return [
        counts
        for snapshot in snapshots
        for counts in snapshot.objectives
        if (counts.name, counts.definition) == (name, definition)
        and len(counts.windows) == len(WINDOWS)
    ]


def _merge_windows(
    counted: list[ObjectiveCounts],
    target_ratio: float,
) -> tuple[WindowBurn, ...]:
    merged = []
    for index, window in enumerate(WINDOWS):
        count = sum(
            (counts.windows[index] for counts in counted),
            start=EventCount(0, 0),
        )
        rate = burn_rate(count, target_ratio)
        merged.append(WindowBurn(window.name, count.good, count.total, rate))
    return tuple(merged)


def _merge_histograms(snapshots: tuple[MetricsSnapshot, ...]) -> HistogramTable:
    keys = {
        (histogram.subject, histogram.indicator)
        for snapshot in snapshots
        for histogram in snapshot.histograms
    }
    table = HistogramTable(len(keys))
    for snapshot in snapshots:
        for histogram in snapshot.histograms:
            table.merge(histogram)
    return table


def _department_of(document: ConfigDocument, subject: str) -> str:
    service = document.services.get(ServiceName(subject))
    if service is not None:
        return service.department
    return subject if DepartmentName(subject) in document.departments else ''


__all__ = ('BurnLine', 'BurnReport', 'WindowBurn', 'burn_rate', 'burn_report')
