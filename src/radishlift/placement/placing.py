"""Phase that places queued tasks on workers."""

from functools import partial
from typing import Final

from radishlift.placement.engine_context import EngineContext
from radishlift.placement.gangs import find_gang_workers, start_gang
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.placement_filter import PlacementFilter
from radishlift.placement.policies import NORMAL_RANK, URGENT_RANK
from radishlift.placement.queue_groups import Group
from radishlift.placement.reservations import request_reservation
from radishlift.placement.rules import (
    dominant_share,
    get_policy,
    quota_shortage,
)
from radishlift.placement.starts import next_task_row, start_next
from radishlift.placement.tables import NO_RESOURCES, NO_ROW
from radishlift.placement.worker_selection import choose_worker, score_workers

NO_CAPACITY: Final = 'no worker has enough free capacity'
NO_GANG_CAPACITY: Final = (
    'free capacity is too small for all members of the gang'
)


@PHASES.register('placement')
def place_tasks(context: EngineContext, budget: PhaseBudget) -> bool:
    """Places tasks in queue order until no group can start."""
    _unblock_groups(context)
    share = partial(dominant_share, context)
    while not budget.is_exhausted():
        group = context.queue.active.first(
            share, context.reservations.closed_departments
        )
        if group is None:
            return True
        if _compares_demands(context, group):
            group = _best_group(context, group, budget.now_ms)
        job_row = context.queue.head(group)
        if job_row is not None:
            _place_head(context, group, job_row, budget.now_ms)
    return False


def _compares_demands(context: EngineContext, group: Group) -> bool:
    if group.key.rank < NORMAL_RANK or group.key.is_gang:
        return False
    return get_policy(context, group.key.department).compared_count > 1


def _best_group(context: EngineContext, first: Group, now_ms: int) -> Group:
    """Returns the group whose demand has the lowest score on any worker."""
    policy = get_policy(context, first.key.department)
    best = first
    best_score = float('inf')
    for group in context.queue.active.alternatives(
        first,
        policy.compared_count,
    ):
        job_row = context.queue.head(group)
        if job_row is None:
            continue
        demand = group.key.demand
        spec = context.tables.jobs.spec[job_row]
        worker_filter = PlacementFilter(
            context, spec, group.key.rank, demand, now_ms
        )
        score, _ = score_workers(context, policy, demand, worker_filter)
        if score < best_score:
            best = group
            best_score = score
    return best


def _unblock_groups(context: EngineContext) -> None:
    """Unblocks groups for which capacity or quota has become free."""
    queue = context.queue
    if context.fleet.newly_free != NO_RESOURCES:
        queue.unblock_fitting(context.fleet.newly_free)
        context.fleet.newly_free = NO_RESOURCES
    for team in context.tables.teams_below_quota:
        queue.unblock_team(team)
    context.tables.teams_below_quota.clear()
    for name, group in list(context.reservations.closed_departments.items()):
        if not context.queue.is_blocked(group):
            del context.reservations.closed_departments[name]


def _place_head(
    context: EngineContext,
    group: Group,
    job_row: int,
    now_ms: int,
) -> None:
    count = 1
    if group.key.is_gang:
        count = context.tables.jobs.ready_count(job_row)
    key = group.key
    shortage = quota_shortage(context, key.team, key.demand, count)
    if shortage is not None:
        context.queue.block_for_quota(group, shortage.detail)
        return
    place = _place_gang if group.key.is_gang else _place_task
    if place(context, group, job_row, now_ms):
        context.queue.refresh(group)
    else:
        _block_group(context, group, job_row)


def _place_task(
    context: EngineContext,
    group: Group,
    job_row: int,
    now_ms: int,
) -> bool:
    spec = context.tables.jobs.spec[job_row]
    policy = get_policy(context, spec.department)
    demand = group.key.demand
    worker_filter = PlacementFilter(
        context, spec, group.key.rank, demand, now_ms
    )
    task_row = next_task_row(context, job_row)
    avoided: frozenset[int] = frozenset()
    if task_row != NO_ROW:
        avoided = _failed_on(context, task_row)
    worker_row = NO_ROW
    if avoided:
        worker_row = choose_worker(
            context,
            policy,
            demand,
            lambda row: row not in avoided and worker_filter(row),
        )
    if worker_row == NO_ROW:
        worker_row = choose_worker(context, policy, demand, worker_filter)
    if worker_row == NO_ROW:
        return False
    start = start_next(context, job_row, worker_row, demand, now_ms)
    worker_filter.count_start(worker_row, start)
    return True


def _failed_on(context: EngineContext, task_row: int) -> frozenset[int]:
    """Returns the workers on which a task failed before."""
    row_of = context.tables.workers.row_of
    return frozenset(
        row_of[worker_id]
        for worker_id in context.tables.tasks.failed_on[task_row]
        if worker_id in row_of
    )


def _place_gang(
    context: EngineContext,
    group: Group,
    job_row: int,
    now_ms: int,
) -> bool:
    spec = context.tables.jobs.spec[job_row]
    policy = get_policy(context, spec.department)
    demand = group.key.demand
    worker_filter = PlacementFilter(
        context, spec, group.key.rank, demand, now_ms
    )
    count = context.tables.jobs.ready_count(job_row)
    rows = find_gang_workers(context, policy, demand, count, worker_filter)
    start_gang(context, job_row, rows, demand, now_ms)
    return bool(rows)


def _block_group(context: EngineContext, group: Group, job_row: int) -> None:
    reason = NO_GANG_CAPACITY if group.key.is_gang else NO_CAPACITY
    context.queue.block(group, reason)
    request_reservation(context, group, job_row)
    if group.key.rank == URGENT_RANK:
        context.reservations.urgent_blocked[group.key] = group
    if get_policy(context, group.key.department).is_strict:
        context.reservations.closed_departments[group.key.department] = group


__all__ = ('place_tasks',)
