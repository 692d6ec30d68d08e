"""What other partitions need to know: load, and jobs that wait too long."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import JobId
from radishlift.placement.amounts import count_fitting
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.jobs import (
    JobKind,
    JobSpec,
    Priority,
    Resources,
)
from radishlift.placement.queue_groups import Group

MAX_HAND_OFFS: Final = 6
"""Most hand-offs of a job; each is a hop for the calls that follow it."""
LISTED_HAND_OFFS_COUNT: Final = 64
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
    """A job that could be handed off, and why it can't start here soon.

    `is_large` tells that the workers here could not start it even if idle.
    """

    job_id: JobId
    demand: Resources
    tasks_count: int
    waiting_ms: int
    reason: str
    exceeds_partition: bool = False


Describe = Callable[[EngineContext, Group, int, int], HandOff | None]


def summarise_load(context: EngineContext) -> LoadSummary:
    """Sums up the load over the workers of the partition."""
    workers = context.tables.workers
    rows = [
        row for row in workers.row_of.values() if workers.is_schedulable(row)
    ]
    cpu = [workers.free_cpu[row] for row in rows]
    memory = [workers.free_memory[row] for row in rows]
    accelerators = [workers.free_accelerators[row] for row in rows]
    fleet = context.fleet
    return LoadSummary(
        sum(workers.is_present[row] for row in workers.row_of.values()),
        len(context.health.quarantined),
        fleet.total,
        Resources(sum(cpu), sum(memory), sum(accelerators)),
        fleet.largest,
        Resources(
            max(cpu, default=0),
            max(memory, default=0),
            max(accelerators, default=0),
        ),
        context.tables.queued_count,
    )


def list_hand_offs(context: EngineContext, now_ms: int) -> list[HandOff]:
    """Lists jobs without a live attempt that wait for room here.

    Jobs that the workers of this partition can't start at all come at once.
    Others come when they have waited for a while, unless they were started or
    handed off before or are gangs. At most `HAND_OFFS_COUNT` are listed,
    those of the lowest rank number first.
    """
    blocked = [group for group in context.queue.groups() if group.blocked_by]
    return _list_first(context, blocked, _hand_off, now_ms)


def _list_first(
    context: EngineContext,
    blocked: list[Group],
    describe: Describe,
    now_ms: int,
) -> list[HandOff]:
    listed: list[HandOff] = []
    for group in sorted(blocked, key=lambda group: group.key.rank):
        for job_row in context.queue.waiting_jobs(group):
            hand_off = describe(context, group, job_row, now_ms)
            if hand_off is not None:
                listed.append(hand_off)
            if len(listed) == LISTED_HAND_OFFS_COUNT:
                return listed
    return listed


def _hand_off(
    context: EngineContext,
    group: Group,
    job_row: int,
    now_ms: int,
) -> HandOff | None:
    jobs = context.tables.jobs
    queued_count = jobs.startable_count(job_row)
    if not queued_count or not _can_hand_off(context, job_row):
        return None
    spec = jobs.spec[job_row]
    waiting_ms = now_ms - jobs.accepted_at_ms[job_row]
    reason = group.blocked_by
    if not can_ever_start(context, group, queued_count):
        reason = 'the workers of this partition are not large enough'
    elif _moves_only_if_too_large(
        context, job_row
    ) or waiting_ms < _min_wait_ms(spec):
        return None
    elif context.queue.blocked.waits_for_quota(group):
        # A quota is that of the cell, so another partition can't help.
        return None
    return HandOff(
        spec.job_id,
        group.key.demand,
        queued_count,
        waiting_ms,
        reason,
    )


def list_waiting_gangs(context: EngineContext, now_ms: int) -> list[HandOff]:
    """Lists gangs that could start over several partitions.

    Those that the workers here can't start at all come at once, others when
    they have waited for a while. At most `HAND_OFFS_COUNT` are listed.
    """
    groups = context.queue.groups()
    blocked = [
        group for group in groups if group.key.is_gang and group.blocked_by
    ]
    return _list_first(context, blocked, _waiting_gang, now_ms)


def _waiting_gang(
    context: EngineContext,
    group: Group,
    job_row: int,
    now_ms: int,
) -> HandOff | None:
    jobs = context.tables.jobs
    count = jobs.ready_count(job_row)
    if not count or jobs.has_live_attempts(job_row):
        return None
    spec = jobs.spec[job_row]
    waiting_ms = now_ms - jobs.accepted_at_ms[job_row]
    is_large = not can_ever_start(context, group, count)
    if not is_large:
        # With more of the quota a gang that waits for it starts here.
        is_for_quota = context.queue.blocked.waits_for_quota(group)
        if is_for_quota or waiting_ms < _min_wait_ms(spec):
            return None
    return HandOff(
        spec.job_id,
        spec.demand,
        count,
        waiting_ms,
        group.blocked_by,
        is_large,
    )


def _can_hand_off(context: EngineContext, job_row: int) -> bool:
    # Members of a gang part may run in other partitions.
    jobs = context.tables.jobs
    if jobs.is_part[job_row] or jobs.has_live_attempts(job_row):
        return False
    return len(jobs.passed_partitions[job_row]) < MAX_HAND_OFFS


def _moves_only_if_too_large(context: EngineContext, job_row: int) -> bool:
    """Returns whether a job moves only if it can't start here at all."""
    jobs = context.tables.jobs
    is_gang = jobs.spec[job_row].kind is JobKind.gang
    is_started = bool(jobs.first_unstarted_index[job_row])
    return is_gang or is_started or bool(jobs.passed_partitions[job_row])


def can_ever_start(
    context: EngineContext,
    group: Group,
    queued_count: int,
) -> bool:
    """Returns whether the present workers could start work if idle."""
    needed_count = queued_count if group.key.is_gang else 1
    fitting_count = sum(
        workers_count * count_fitting(group.key.demand, shape, needed_count)
        for shape, workers_count in context.fleet.shapes.items()
    )
    return fitting_count >= needed_count


def _min_wait_ms(spec: JobSpec) -> int:
    if spec.priority is Priority.urgent:
        return URGENT_WAIT_MS
    return OTHER_WAIT_MS


__all__ = (
    'MAX_HAND_OFFS',
    'HandOff',
    'LoadSummary',
    'can_ever_start',
    'list_hand_offs',
    'list_waiting_gangs',
    'summarise_load',
)
