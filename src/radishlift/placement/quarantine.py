"""Phase that quarantines workers that fail their tasks, and probes them."""

from typing import Final

from radishlift.placement.amounts import is_within
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.failures import can_quarantine
from radishlift.placement.health import MAX_PROBE_WAIT_MS
from radishlift.placement.jobs import JobKind, Priority
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.queue_groups import Group
from radishlift.placement.records import WorkerQuarantined, WorkerReturned
from radishlift.placement.rules import quota_shortage
from radishlift.placement.starts import start_next

PROBE_GROUPS_COUNT: Final = 32
"""Groups of the queue that are searched for a probe task."""
REASON: Final = 'fails its tasks while other workers do not'


@PHASES.register('quarantine')
def update_quarantine(context: EngineContext, budget: PhaseBudget) -> bool:
    """Quarantines suspect workers and probes quarantined ones."""
    if context.health.is_changed:
        context.health.is_changed = False
        _quarantine_suspects(context, budget.now_ms)
    for worker_row in list(context.health.quarantined):
        _probe(context, worker_row, budget.now_ms)
    return True


def _quarantine_suspects(context: EngineContext, now_ms: int) -> None:
    workers = context.tables.workers
    for row in context.health.suspects():
        if not can_quarantine(context):
            return
        if not workers.is_schedulable(row):
            continue
        worker_info = workers.worker_info[row]
        context.emit(
            WorkerQuarantined(
                worker_info.worker_id,
                worker_info.incarnation,
                REASON,
            ),
        )
        health = context.health.get_or_add(row)
        health.next_probe_ms = now_ms + health.probe_wait_ms


def _probe(context: EngineContext, worker_row: int, now_ms: int) -> None:
    """Ends the quarantine after a success, or starts a due probe task."""
    workers = context.tables.workers
    health = context.health.get_or_add(worker_row)
    if workers.task_rows[worker_row]:
        return
    if health.ended_count and not health.streak_count:
        worker_id = workers.worker_info[worker_row].worker_id
        context.emit(WorkerReturned(worker_id))
        return
    if now_ms < health.next_probe_ms:
        return
    group = _probe_group(context, worker_row)
    if group is None:
        return
    job_row = context.queue.head(group)
    if job_row is None:
        return
    start_next(context, job_row, worker_row, group.key.demand, now_ms)
    context.queue.refresh(group)
    health.probe_wait_ms = min(MAX_PROBE_WAIT_MS, health.probe_wait_ms * 2)
    health.next_probe_ms = now_ms + health.probe_wait_ms


def _probe_group(context: EngineContext, worker_row: int) -> Group | None:
    """Returns a group whose first task can run again if the probe fails."""
    capacity = context.tables.workers.worker_info[worker_row].capacity
    for group in context.queue.groups()[:PROBE_GROUPS_COUNT]:
        job_row = context.queue.head(group)
        if job_row is None or group.key.is_gang:
            continue
        spec = context.tables.jobs.spec[job_row]
        is_lower = spec.priority in {Priority.normal, Priority.low}
        is_repeatable = spec.kind is JobKind.batch and spec.max_attempts > 1
        fits = is_within(group.key.demand, capacity)
        if not (is_lower and is_repeatable and fits):
            continue
        key = group.key
        if quota_shortage(context, key.team, key.demand, 1) is None:
            return group
    return None


__all__ = ('update_quarantine',)
