"""System that takes in usage reports and limits work that uses too much."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import Attempt, Incarnation, WorkerId
from radishlift.placement.amounts import plus
from radishlift.placement.cancellations import stop_attempt
from radishlift.placement.jobs import (
    JobSpec,
    Priority,
    Resources,
    TaskState,
    UsageReport,
)
from radishlift.placement.orders import Order, OrderKind
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.tables import NO_ROW, NOTHING
from radishlift.placement.task_states import is_allowed
from radishlift.placement.working import Working

STALE_AGE_MS: Final = 10_000
"""Reports lag by about a second; older ones say nothing about now."""
LEAST_RUN_MS: Final = 500
"""Earlier usage is that of starting up, and too low."""
TOLERANCE: Final = 1.1
"""Usage is above its reservation from this ratio on."""
_VICTIM_ORDER: Final = (
    Priority.low,
    Priority.normal,
    Priority.high,
    Priority.urgent,
)


@dataclass(frozen=True, slots=True)
class _Seen:
    row: int
    spec: JobSpec
    report: UsageReport
    reserved: Resources


@SYSTEMS.register('usage')
def take_in_usage(working: Working, time: TickTime) -> bool:
    """Works through the latest reports of each worker."""
    pending = working.inputs.usage
    while pending:
        if time.is_over():
            return False
        worker_id = next(iter(pending))
        reports = pending.pop(worker_id)
        _take_in(working, worker_id, reports, time.now_ms)
    return True


def _take_in(
    working: Working,
    worker_id: WorkerId,
    reports: tuple[UsageReport, ...],
    now_ms: int,
) -> None:
    worker_row = working.tables.workers.row_of.get(worker_id)
    if worker_row is None:
        return
    seen = list(_match(working, worker_row, reports))
    for one in seen:
        _note(working, one, now_ms)
    used = NOTHING
    for one in seen:
        used = plus(used, one.report.usage)
    capacity = working.tables.workers.worker_info[worker_row].capacity
    _limit_processor(working, seen, used, capacity)
    _limit_memory(working, seen, used, capacity)


def _match(
    working: Working,
    worker_row: int,
    reports: tuple[UsageReport, ...],
) -> Iterator[_Seen]:
    """Yields the reports about attempts that are placed on the worker."""
    tables = working.tables
    for report in reports:
        row = tables.task_row(report.task_id)
        if row is None or row == NO_ROW:
            continue
        if tables.tasks.worker_row[row] != worker_row:
            continue
        if tables.tasks.attempt[row] == report.attempt:
            spec = tables.jobs.spec[tables.tasks.job_row[row]]
            yield _Seen(row, spec, report, tables.tasks.reserved[row])


def _note(working: Working, one: _Seen, now_ms: int) -> None:
    tasks = working.tables.tasks
    if is_allowed(tasks.state[one.row], TaskState.running):
        tasks.state[one.row] = TaskState.running
    is_fresh = one.report.age_ms < STALE_AGE_MS
    if is_fresh and one.report.run_ms >= LEAST_RUN_MS:
        working.usage.estimates.add(
            one.spec,
            one.report.usage,
            now_ms,
        )


def _limit_processor(
    working: Working,
    seen: list[_Seen],
    used: Resources,
    capacity: Resources,
) -> None:
    """Throttles lower work above its reservation.

    High and urgent work is throttled only when the worker is overloaded.
    Work with stale reports that got less than it declared is throttled too,
    as nothing shows that the estimate still holds.
    """
    is_overloaded = used.cpu_milli > capacity.cpu_milli
    for one in seen:
        is_lower = one.spec.priority in {Priority.normal, Priority.low}
        if not (is_lower or is_overloaded):
            continue
        limit_milli = one.reserved.cpu_milli * TOLERANCE
        if one.report.usage.cpu_milli > limit_milli:
            reason = 'processor use is above the reservation'
            _order(working, one, OrderKind.throttle, reason)
        elif _is_unverified(one):
            reason = 'reports are stale and less than declared is reserved'
            _order(working, one, OrderKind.throttle, reason)


def _is_unverified(one: _Seen) -> bool:
    declared = one.spec.demand
    is_estimated = (
        one.reserved.cpu_milli < declared.cpu_milli
        or one.reserved.memory_mb < declared.memory_mb
    )
    return is_estimated and one.report.age_ms >= STALE_AGE_MS


def _limit_memory(
    working: Working,
    seen: list[_Seen],
    used: Resources,
    capacity: Resources,
) -> None:
    """Checkpoints work above its reservation; stops it if memory is short.

    The lowest priority goes first, and only until the rest fits.
    """
    above = [
        one
        for one in seen
        if one.report.usage.memory_mb > one.reserved.memory_mb * TOLERANCE
    ]
    above.sort(key=lambda one: _VICTIM_ORDER.index(one.spec.priority))
    excess_mb = used.memory_mb - capacity.memory_mb
    for one in above:
        reason = 'memory use is above the reservation'
        _order(working, one, OrderKind.checkpoint, reason)
        if excess_mb > 0:
            reason = 'memory of the worker is short'
            stop_attempt(working, one.row, reason, is_requeued=True)
            excess_mb -= one.report.usage.memory_mb


def _order(
    working: Working,
    one: _Seen,
    kind: OrderKind,
    reason: str,
) -> None:
    """Adds an order, once for each attempt and kind."""
    tasks = working.tables.tasks
    given = (one.report.attempt, kind)
    known = working.usage.given_orders.setdefault(one.report.task_id, set())
    if given in known:
        return
    known.add(given)
    worker = working.tables.workers.worker_info[tasks.worker_row[one.row]]
    working.orders.append(
        Order(
            kind,
            one.report.task_id,
            Attempt(one.report.attempt),
            worker.worker_id,
            Incarnation(tasks.incarnation[one.row]),
            reason,
        ),
    )


__all__ = ('take_in_usage',)
