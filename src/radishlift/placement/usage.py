"""Phase that processes usage reports and limits work above its reservation."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import Attempt, Incarnation, WorkerId
from radishlift.placement.amounts import plus
from radishlift.placement.cancellations import stop_attempt
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.jobs import (
    JobSpec,
    Priority,
    Resources,
    TaskState,
    UsageReport,
)
from radishlift.placement.orders import Order, OrderKind
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.tables import NO_RESOURCES, NO_ROW
from radishlift.placement.task_states import is_transition_allowed

STALE_AGE_MS: Final = 10_000
"""Age from which a report is stale; reports are usually delayed by about a
second."""
MIN_RUN_MS: Final = 500
"""Run time below which usage is ignored; it is too low during start-up."""
TOLERANCE: Final = 1.1
"""Ratio of usage to reservation above which work is limited."""
_VICTIM_ORDER: Final = (
    Priority.low,
    Priority.normal,
    Priority.high,
    Priority.urgent,
)


@dataclass(frozen=True, slots=True)
class _ReportedAttempt:
    row: int
    spec: JobSpec
    report: UsageReport
    reserved: Resources


@PHASES.register('usage')
def process_usage(context: EngineContext, budget: PhaseBudget) -> bool:
    """Processes the latest reports of each worker."""
    pending = context.inputs.usage_reports
    while pending:
        if budget.is_exhausted():
            return False
        worker_id = next(iter(pending))
        reports = pending.pop(worker_id)
        _process_reports(context, worker_id, reports, budget.now_ms)
    return True


def _process_reports(
    context: EngineContext,
    worker_id: WorkerId,
    reports: tuple[UsageReport, ...],
    now_ms: int,
) -> None:
    worker_row = context.tables.workers.row_of.get(worker_id)
    if worker_row is None:
        return
    reported_attempts = list(_match_reports(context, worker_row, reports))
    for reported in reported_attempts:
        _update_from_report(context, reported, now_ms)
    used = NO_RESOURCES
    for reported in reported_attempts:
        used = plus(used, reported.report.usage)
    capacity = context.tables.workers.worker_info[worker_row].capacity
    _limit_processor(context, reported_attempts, used, capacity)
    _limit_memory(context, reported_attempts, used, capacity)


def _match_reports(
    context: EngineContext,
    worker_row: int,
    reports: tuple[UsageReport, ...],
) -> Iterator[_ReportedAttempt]:
    """Yields the reports about attempts that are placed on the worker."""
    tables = context.tables
    for report in reports:
        row = tables.task_row(report.task_id)
        if row is None or row == NO_ROW:
            continue
        if tables.tasks.worker_row[row] != worker_row:
            continue
        if tables.tasks.attempt[row] == report.attempt:
            spec = tables.jobs.spec[tables.tasks.job_row[row]]
            yield _ReportedAttempt(
                row, spec, report, tables.tasks.reserved[row]
            )


def _update_from_report(
    context: EngineContext, reported: _ReportedAttempt, now_ms: int
) -> None:
    tasks = context.tables.tasks
    if is_transition_allowed(tasks.state[reported.row], TaskState.running):
        tasks.state[reported.row] = TaskState.running
    is_fresh = reported.report.age_ms < STALE_AGE_MS
    if is_fresh and reported.report.run_ms >= MIN_RUN_MS:
        context.usage.estimates.add(
            reported.spec,
            reported.report.usage,
            now_ms,
        )


def _limit_processor(
    context: EngineContext,
    reported_attempts: list[_ReportedAttempt],
    used: Resources,
    capacity: Resources,
) -> None:
    """Throttles normal and low work above its reservation.

    High and urgent work is throttled only if the worker is overloaded. Work
    with stale reports whose reservation is below its declared size is also
    throttled, because no recent report supports the estimate.
    """
    is_overloaded = used.cpu_milli > capacity.cpu_milli
    for reported in reported_attempts:
        is_lower = reported.spec.priority in {Priority.normal, Priority.low}
        if not (is_lower or is_overloaded):
            continue
        limit_milli = reported.reserved.cpu_milli * TOLERANCE
        if reported.report.usage.cpu_milli > limit_milli:
            reason = 'processor use is above the reservation'
            _add_order(context, reported, OrderKind.throttle, reason)
        elif _is_unverified(reported):
            reason = 'reports are stale and less than declared is reserved'
            _add_order(context, reported, OrderKind.throttle, reason)


def _is_unverified(reported: _ReportedAttempt) -> bool:
    declared = reported.spec.demand
    is_estimated = (
        reported.reserved.cpu_milli < declared.cpu_milli
        or reported.reserved.memory_mb < declared.memory_mb
    )
    return is_estimated and reported.report.age_ms >= STALE_AGE_MS


def _limit_memory(
    context: EngineContext,
    reported_attempts: list[_ReportedAttempt],
    used: Resources,
    capacity: Resources,
) -> None:
    """Orders checkpoints of work above its reservation.

    If the worker is short of memory, such work is also stopped, lowest
    priority first, until the remaining work fits.
    """
    above = [
        reported
        for reported in reported_attempts
        if reported.report.usage.memory_mb
        > reported.reserved.memory_mb * TOLERANCE
    ]
    above.sort(key=lambda reported: _VICTIM_ORDER.index(reported.spec.priority))
    excess_mb = used.memory_mb - capacity.memory_mb
    for reported in above:
        reason = 'memory use is above the reservation'
        _add_order(context, reported, OrderKind.checkpoint, reason)
        if excess_mb > 0:
            reason = 'memory of the worker is short'
            stop_attempt(context, reported.row, reason, is_requeued=True)
            excess_mb -= reported.report.usage.memory_mb


def _add_order(
    context: EngineContext,
    reported: _ReportedAttempt,
    kind: OrderKind,
    reason: str,
) -> None:
    """Adds an order unless the attempt already got one of this kind."""
    tasks = context.tables.tasks
    given = (reported.report.attempt, kind)
    known = context.usage.sent_orders.setdefault(reported.report.task_id, set())
    if given in known:
        return
    known.add(given)
    worker = context.tables.workers.worker_info[tasks.worker_row[reported.row]]
    context.orders.append(
        Order(
            kind,
            reported.report.task_id,
            Attempt(reported.report.attempt),
            worker.worker_id,
            Incarnation(tasks.incarnation[reported.row]),
            reason,
        ),
    )


__all__ = ('process_usage',)
