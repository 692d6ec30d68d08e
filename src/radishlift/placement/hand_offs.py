"""What other partitions need to know: load, and jobs that wait too long."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import JobId
from radishlift.placement.amounts import is_within
from radishlift.placement.jobs import JobSpec, Priority, Resources
from radishlift.placement.queue_groups import Group
from radishlift.placement.working import Working

HAND_OFFS_COUNT: Final = 64
"""Most jobs in one list, which bounds a message to another partition."""
URGENT_WAIT_MS: Final = 300
"""Urgent work has to start within 1.8 s, so that it can't wait longer here."""
OTHER_WAIT_MS: Final = 2_000
"""Other work waits for an end here before the journal writes of a move."""


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Load of a partition; its size does not depend on the partition's.

    `largest_free` is the most that is free on a worker in each dimension,
    which need not be the same worker.
    """

    workers_count: int
    quarantined_count: int
    total: Resources
    free: Resources
    largest: Resources
    largest_free: Resources
    queued_tasks_count: int


@dataclass(frozen=True, slots=True)
class HandOff:
    """A job that could be handed off, and why it can't start here soon."""

    job_id: JobId
    demand: Resources
    tasks_count: int
    waiting_ms: int
    reason: str


def summarise_load(working: Working) -> LoadSummary:
    """Sums up the load over the workers of the partition."""
    workers = working.tables.workers
    rows = [row for row in workers.row_of.values() if workers.can_take(row)]
    cpu = [workers.free_cpu[row] for row in rows]
    memory = [workers.free_memory[row] for row in rows]
    accelerators = [workers.free_accelerators[row] for row in rows]
    fleet = working.fleet
    return LoadSummary(
        sum(workers.is_present[row] for row in workers.row_of.values()),
        len(working.health.quarantined),
        fleet.total,
        Resources(sum(cpu), sum(memory), sum(accelerators)),
        fleet.largest,
        Resources(
            max(cpu, default=0),
            max(memory, default=0),
            max(accelerators, default=0),
        ),
        working.tables.queued_count,
    )


def list_hand_offs(working: Working, now_ms: int) -> list[HandOff]:
    """Lists jobs without a started task that wait for room here.

    Jobs that fit no worker of this partition come at once, others when they
    have waited for a while. At most `HAND_OFFS_COUNT` are listed, those of
    the lowest rank number first.
    """
    listed: list[HandOff] = []
    groups = [group for group in working.queue.groups() if group.blocked_by]
    groups.sort(key=lambda group: group.key.rank)
    for group in groups:
        for job_row in working.queue.waiting_jobs(group):
            hand_off = _hand_off(working, group, job_row, now_ms)
            if hand_off is not None:
                listed.append(hand_off)
            if len(listed) == HAND_OFFS_COUNT:
                return listed
    return listed


def _hand_off(
    working: Working,
    group: Group,
    job_row: int,
    now_ms: int,
) -> HandOff | None:
    jobs = working.tables.jobs
    is_started = bool(jobs.fresh_index[job_row])
    if is_started or not jobs.startable_count(job_row):
        return None
    spec = jobs.spec[job_row]
    waiting_ms = now_ms - jobs.accepted_at_ms[job_row]
    reason = group.blocked_by
    if _fits_no_worker(working, group.key.demand):
        reason = 'no worker of this partition is large enough'
    elif waiting_ms < _patience_ms(spec):
        return None
    return HandOff(
        spec.job_id,
        group.key.demand,
        spec.task_count,
        waiting_ms,
        reason,
    )


def _fits_no_worker(working: Working, demand: Resources) -> bool:
    return not any(is_within(demand, shape) for shape in working.fleet.shapes)


def _patience_ms(spec: JobSpec) -> int:
    if spec.priority is Priority.urgent:
        return URGENT_WAIT_MS
    return OTHER_WAIT_MS


__all__ = ('HandOff', 'LoadSummary', 'list_hand_offs', 'summarise_load')
