"""Load summary of a partition, and its jobs that wait too long."""

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
"""Maximum hand-offs of a job; each adds a hop to later calls about it."""
LISTED_HAND_OFFS_COUNT: Final = 64
"""Maximum jobs in one list, which bounds a message to another partition."""
URGENT_WAIT_MS: Final = 300
"""Wait of urgent work before a hand-off, because it has to start within
1.8 s."""
OTHER_WAIT_MS: Final = 2_000
"""Wait of other work before a hand-off. An attempt that ends here in this time
saves the journal writes of the hand-off."""


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Load of a partition, in a fixed size for any number of workers.

    `largest_free` is the most free capacity of any worker in each dimension;
    the dimensions may be those of different workers.
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

    `exceeds_partition` is set if the workers here could not start it even if
    they were idle.
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
    """Lists jobs without live attempts that another partition could start.

    Jobs that are too large for the workers of this partition are listed at
    once. Others are listed after a wait, unless they are gangs, have started
    tasks or were handed off before. At most `LISTED_HAND_OFFS_COUNT` are
    listed, lowest rank first.
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
        reason = 'the workers of this partition are too small or too few'
    elif _moves_only_if_too_large(
        context, job_row
    ) or waiting_ms < _min_wait_ms(spec):
        return None
    elif context.queue.blocked.waits_for_quota(group):
        # Quotas apply to the whole cell, so another partition can't help.
        return None
    return HandOff(
        spec.job_id,
        group.key.demand,
        queued_count,
        waiting_ms,
        reason,
    )


def list_waiting_gangs(context: EngineContext, now_ms: int) -> list[HandOff]:
    """Lists gangs that could start in several partitions.

    Gangs that are too large for the workers here are listed at once, others
    after a wait. At most `LISTED_HAND_OFFS_COUNT` are listed.
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
        # A gang that waits for quota starts here once it gets more.
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
    """Returns whether a job is handed off only if it can never start here."""
    jobs = context.tables.jobs
    is_gang = jobs.spec[job_row].kind is JobKind.gang
    is_started = bool(jobs.first_unstarted_index[job_row])
    return is_gang or is_started or bool(jobs.passed_partitions[job_row])


def can_ever_start(
    context: EngineContext,
    group: Group,
    queued_count: int,
) -> bool:
    """Returns whether the present workers could start a job if idle."""
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
