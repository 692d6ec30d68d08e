"""System that closes workers that fail everything, probes and returns them."""

from typing import Final

from radishlift.placement.amounts import is_within
from radishlift.placement.failures import may_quarantine
from radishlift.placement.health import LAST_PROBE_MS
from radishlift.placement.jobs import JobKind, Priority
from radishlift.placement.queue_groups import Group
from radishlift.placement.records import WorkerQuarantined, WorkerReturned
from radishlift.placement.rules import quota_shortage
from radishlift.placement.starts import start_next
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.working import Working

PROBE_GROUPS_COUNT: Final = 32
"""Groups of the queue that are searched for a task to probe with."""
REASON: Final = 'fails its tasks while other workers do not'


@SYSTEMS.register('quarantine')
def judge_workers(working: Working, time: TickTime) -> bool:
    """Quarantines suspects and probes quarantined workers."""
    if working.health.is_changed:
        working.health.is_changed = False
        _quarantine_suspects(working, time.now_ms)
    for worker_row in list(working.health.quarantined):
        _probe(working, worker_row, time.now_ms)
    return True


def _quarantine_suspects(working: Working, now_ms: int) -> None:
    workers = working.tables.workers
    for row in working.health.suspects():
        if not may_quarantine(working):
            return
        if not workers.can_take(row):
            continue
        described = workers.worker_info[row]
        working.emit(
            WorkerQuarantined(
                described.worker_id,
                described.incarnation,
                REASON,
            ),
        )
        health = working.health.of(row)
        health.probe_at_ms = now_ms + health.probe_wait_ms


def _probe(working: Working, worker_row: int, now_ms: int) -> None:
    """Returns a worker after a success, or lets it try another task."""
    workers = working.tables.workers
    health = working.health.of(worker_row)
    if workers.tasks[worker_row]:
        return
    if health.ended_count and not health.streak_count:
        worker_id = workers.worker_info[worker_row].worker_id
        working.emit(WorkerReturned(worker_id))
        return
    if now_ms < health.probe_at_ms:
        return
    group = _probe_group(working, worker_row)
    if group is None:
        return
    job_row = working.queue.head(group)
    if job_row is None:
        return
    start_next(working, job_row, worker_row, group.key.demand, now_ms)
    working.queue.refresh(group)
    health.probe_wait_ms = min(LAST_PROBE_MS, health.probe_wait_ms * 2)
    health.probe_at_ms = now_ms + health.probe_wait_ms


def _probe_group(working: Working, worker_row: int) -> Group | None:
    """Finds work that may be run again if the probe fails."""
    capacity = working.tables.workers.worker_info[worker_row].capacity
    for group in working.queue.groups()[:PROBE_GROUPS_COUNT]:
        job_row = working.queue.head(group)
        if job_row is None or group.key.is_gang:
            continue
        spec = working.tables.jobs.spec[job_row]
        is_lower = spec.priority in {Priority.normal, Priority.low}
        is_repeatable = spec.kind is JobKind.batch and spec.max_attempts > 1
        fits = is_within(group.key.demand, capacity)
        if not (is_lower and is_repeatable and fits):
            continue
        key = group.key
        if quota_shortage(working, key.team, key.demand, 1) is None:
            return group
    return None


__all__ = ('judge_workers',)
