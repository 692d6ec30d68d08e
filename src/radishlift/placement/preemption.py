"""System that stops lower work for urgent work that finds no room.

Capacity is free only when the stopped attempts have ended; until then their
worker is claimed, so that no other work takes what becomes free first.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from itertools import islice
from typing import Final

from radishlift.core.ids import TaskId
from radishlift.placement.amounts import count_fitting, plus
from radishlift.placement.booking import Claim
from radishlift.placement.cancellations import stop_attempt
from radishlift.placement.gangs import stop_gang
from radishlift.placement.jobs import (
    JobKind,
    JobSpec,
    Priority,
    Resources,
    TaskState,
)
from radishlift.placement.queue_groups import Group
from radishlift.placement.rules import policy_of
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.tables import NO_ROW
from radishlift.placement.working import Working

PREEMPTED: Final = 'preempted by urgent work'
CLAIM_TIMEOUT_MS: Final = 1_000
"""After this time without an end other workers are tried, as urgent work
has to start within 1.8 s."""
CLAIM_TASKS_COUNT: Final = 4
"""Most urgent tasks that one claim makes room for."""
COUNTED_JOBS_COUNT: Final = 256
"""Waiting jobs that are counted in a tick; a burst has thousands."""
LOOKED_AT_COUNT: Final = 4
"""Workers that are compared for the least loss."""


@dataclass(frozen=True, slots=True)
class Displacement:
    """Tasks to stop on a worker and how many urgent tasks then fit."""

    worker_row: int
    victims: tuple[int, ...]
    tasks_count: int

    @property
    def cost(self) -> int:
        """Compares what is lost to what is gained."""
        return len(self.victims) - self.tasks_count


@SYSTEMS.register('preemption')
def preempt_tasks(working: Working, time: TickTime) -> bool:
    """Stops work for blocked urgent groups."""
    _release_claims(working, time.now_ms)
    for key, group in list(working.booking.urgent_blocked.items()):
        if not working.queue.is_blocked(group):
            del working.booking.urgent_blocked[key]
            continue
        if not _preempt_for(working, group, time):
            return False
    return True


def _release_claims(working: Working, now_ms: int) -> None:
    for worker_row, claim in list(working.booking.claims.items()):
        is_late = now_ms - claim.made_at_ms > CLAIM_TIMEOUT_MS
        if is_late or not _has_live_victim(working, claim):
            del working.booking.claims[worker_row]
            working.queue.wake_all()


def _has_live_victim(working: Working, claim: Claim) -> bool:
    tables = working.tables
    for task_id, attempt in claim.victims:
        row = tables.task_row(TaskId(task_id))
        if row is None or row == NO_ROW:
            continue
        if tables.tasks.is_live(row) and tables.tasks.attempt[row] == attempt:
            return True
    return False


def _preempt_for(working: Working, group: Group, time: TickTime) -> bool:
    needed_count = _needed_count(working, group)
    while needed_count > 0:
        if time.is_over():
            return False
        made = _make_claim(working, group, needed_count, time.now_ms)
        if not made:
            break
        needed_count -= made
    return True


def _needed_count(working: Working, group: Group) -> int:
    jobs = working.tables.jobs
    waiting = islice(working.queue.waiting_jobs(group), COUNTED_JOBS_COUNT)
    waiting_count = sum(jobs.ready_count(row) for row in waiting)
    covered_count = sum(
        claim.tasks_count
        for claim in working.booking.claims.values()
        if claim.key == group.key
    )
    return waiting_count - covered_count


def _make_claim(
    working: Working,
    group: Group,
    needed_count: int,
    now_ms: int,
) -> int:
    """Claims the worker where the least is lost; returns the task count."""
    best: Displacement | None = None
    for worker_row in _reclaimable(working, group):
        found = _find_victims(working, group, worker_row, needed_count)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    if best is None:
        return 0
    _claim(working, group, best, now_ms)
    return best.tasks_count


def _reclaimable(working: Working, group: Group) -> Iterator[int]:
    claims = working.booking.claims
    rows = working.reclaimable.search(group.key.demand, is_tight=False)
    free_rows = (row for row in rows if row not in claims)
    return islice(free_rows, LOOKED_AT_COUNT)


def _find_victims(
    working: Working,
    group: Group,
    worker_row: int,
    needed_count: int,
) -> Displacement | None:
    """Returns the tasks to stop on a worker, if that makes room."""
    workers = working.tables.workers
    tasks = working.tables.tasks
    free = Resources(
        workers.free_cpu[worker_row],
        workers.free_memory[worker_row],
        workers.free_accelerators[worker_row],
    )
    wanted_count = min(needed_count, CLAIM_TASKS_COUNT)
    victims: list[int] = []
    best: Displacement | None = None
    best_count = 0
    for row in _displaceable(working, group, worker_row):
        victims.append(row)
        free = plus(free, tasks.reserved[row])
        count = count_fitting(group.key.demand, free, wanted_count)
        if count > best_count:
            best = Displacement(worker_row, tuple(victims), count)
            best_count = count
        if count == wanted_count:
            break
    return best


def _displaceable(
    working: Working,
    group: Group,
    worker_row: int,
) -> list[int]:
    """Lists the tasks that may be stopped, least loss first.

    Low work goes before normal work, single tasks before gangs, and what
    started last before what has run for long.
    """
    tables = working.tables
    preempts = policy_of(working, group.key.department).preempts
    rows = [
        row
        for row in tables.workers.tasks[worker_row]
        if tables.tasks.state[row] is not TaskState.stopping
        and preempts(Priority.urgent, _spec_of(working, row).priority)
    ]
    return sorted(rows, key=partial(_loss, working))


def _loss(working: Working, row: int) -> tuple[bool, bool, int]:
    spec = _spec_of(working, row)
    return (
        spec.kind is JobKind.gang,
        spec.priority is not Priority.low,
        -working.tables.tasks.placed_at_ms[row],
    )


def _spec_of(working: Working, row: int) -> JobSpec:
    tables = working.tables
    return tables.jobs.spec[tables.tasks.job_row[row]]


def _claim(
    working: Working,
    group: Group,
    made: Displacement,
    now_ms: int,
) -> None:
    tasks = working.tables.tasks
    working.booking.claims[made.worker_row] = Claim(
        group.key,
        made.tasks_count,
        [(tasks.task_id[row], tasks.attempt[row]) for row in made.victims],
        now_ms,
    )
    for row in made.victims:
        job_row = tasks.job_row[row]
        stop_attempt(working, row, PREEMPTED, is_requeued=True)
        if working.tables.jobs.spec[job_row].kind is JobKind.gang:
            stop_gang(working, job_row, PREEMPTED)


__all__ = ('preempt_tasks',)
