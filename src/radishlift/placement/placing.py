"""System that places queued tasks on workers."""

from functools import partial
from typing import Final

from radishlift.placement.choosing import choose_worker, score_workers
from radishlift.placement.gangs import find_gang_workers, start_gang
from radishlift.placement.permits import Permit
from radishlift.placement.policies import NORMAL_RANK, URGENT_RANK
from radishlift.placement.queue_groups import Group
from radishlift.placement.reservations import note_blocked
from radishlift.placement.rules import policy_of, quota_shortage, share_of
from radishlift.placement.starts import next_task_row, start_next
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.tables import NO_ROW, NOTHING
from radishlift.placement.working import Working

NO_ROOM: Final = 'no worker has room'
NO_GANG_ROOM: Final = 'the workers have no room for all members of the gang'


@SYSTEMS.register('placement')
def place_tasks(working: Working, time: TickTime) -> bool:
    """Places tasks in queue order until nothing fits."""
    _wake(working)
    share = partial(share_of, working)
    while not time.is_over():
        group = working.queue.active.first(share, working.booking.closed)
        if group is None:
            return True
        if _is_compared(working, group):
            group = _best_group(working, group, time.now_ms)
        job_row = working.queue.head(group)
        if job_row is not None:
            _place_head(working, group, job_row, time.now_ms)
    return False


def _is_compared(working: Working, group: Group) -> bool:
    if group.key.rank < NORMAL_RANK or group.key.is_gang:
        return False
    return policy_of(working, group.key.department).compared_count > 1


def _best_group(working: Working, first: Group, now_ms: int) -> Group:
    """Returns the group whose demand best complements a worker."""
    policy = policy_of(working, first.key.department)
    best = first
    best_score = float('inf')
    for group in working.queue.active.alternatives(
        first,
        policy.compared_count,
    ):
        job_row = working.queue.head(group)
        if job_row is None:
            continue
        demand = group.key.demand
        spec = working.tables.jobs.spec[job_row]
        permit = Permit(working, spec, group.key.rank, demand, now_ms)
        score, _ = score_workers(working, policy, demand, permit)
        if score < best_score:
            best = group
            best_score = score
    return best


def _wake(working: Working) -> None:
    """Wakes the groups for which something has changed."""
    queue = working.queue
    if working.fleet.grown != NOTHING:
        queue.wake_fitting(working.fleet.grown)
        working.fleet.grown = NOTHING
    for team in working.tables.shrunk_teams:
        queue.wake_team(team)
    working.tables.shrunk_teams.clear()
    for name, group in list(working.booking.closed.items()):
        if not working.queue.is_blocked(group):
            del working.booking.closed[name]


def _place_head(
    working: Working,
    group: Group,
    job_row: int,
    now_ms: int,
) -> None:
    count = 1
    if group.key.is_gang:
        count = working.tables.jobs.ready_count(job_row)
    key = group.key
    shortage = quota_shortage(working, key.team, key.demand, count)
    if shortage is not None:
        working.queue.block_for_quota(group, shortage.detail)
        return
    place = _place_gang if group.key.is_gang else _place_task
    if place(working, group, job_row, now_ms):
        working.queue.refresh(group)
    else:
        _block(working, group, job_row)


def _place_task(
    working: Working,
    group: Group,
    job_row: int,
    now_ms: int,
) -> bool:
    spec = working.tables.jobs.spec[job_row]
    policy = policy_of(working, spec.department)
    demand = group.key.demand
    permit = Permit(working, spec, group.key.rank, demand, now_ms)
    task_row = next_task_row(working, job_row)
    avoided: frozenset[int] = frozenset()
    if task_row != NO_ROW:
        avoided = _failed_on(working, task_row)
    worker_row = NO_ROW
    if avoided:
        worker_row = choose_worker(
            working,
            policy,
            demand,
            lambda row: row not in avoided and permit(row),
        )
    if worker_row == NO_ROW:
        worker_row = choose_worker(working, policy, demand, permit)
    if worker_row == NO_ROW:
        return False
    start = start_next(working, job_row, worker_row, demand, now_ms)
    permit.note_start(worker_row, start)
    return True


def _failed_on(working: Working, task_row: int) -> frozenset[int]:
    """Returns the workers on which a task failed before."""
    row_of = working.tables.workers.row_of
    return frozenset(
        row_of[worker_id]
        for worker_id in working.tables.tasks.failed_on[task_row]
        if worker_id in row_of
    )


def _place_gang(
    working: Working,
    group: Group,
    job_row: int,
    now_ms: int,
) -> bool:
    spec = working.tables.jobs.spec[job_row]
    policy = policy_of(working, spec.department)
    demand = group.key.demand
    permit = Permit(working, spec, group.key.rank, demand, now_ms)
    count = working.tables.jobs.ready_count(job_row)
    rows = find_gang_workers(working, policy, demand, count, permit)
    start_gang(working, job_row, rows, demand, now_ms)
    return bool(rows)


def _block(working: Working, group: Group, job_row: int) -> None:
    reason = NO_GANG_ROOM if group.key.is_gang else NO_ROOM
    working.queue.block(group, reason)
    note_blocked(working, group, job_row)
    if group.key.rank == URGENT_RANK:
        working.booking.urgent_blocked[group.key] = group
    if policy_of(working, group.key.department).is_strict:
        working.booking.closed[group.key.department] = group


__all__ = ('place_tasks',)
