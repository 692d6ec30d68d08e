"""Phase that stops lower work for urgent work that waits for capacity.

The capacity is free only once the stopped attempts have ended. Until then
their worker is claimed, so that no other work uses what becomes free first.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from itertools import islice
from typing import Final

from radishlift.core.ids import TaskId
from radishlift.placement.amounts import count_fitting, plus
from radishlift.placement.cancellations import stop_attempt
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.gangs import stop_gang
from radishlift.placement.jobs import (
    JobKind,
    JobSpec,
    Priority,
    Resources,
    TaskState,
)
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.queue_groups import Group
from radishlift.placement.reservation_state import PreemptionClaim
from radishlift.placement.rules import get_policy
from radishlift.placement.tables import NO_ROW

PREEMPTED: Final = 'preempted by urgent work'
CLAIM_TIMEOUT_MS: Final = 1_000
"""Time after which a claim is released and other workers are tried, because
urgent work has to start within 1.8 s."""
CLAIM_TASKS_COUNT: Final = 4
"""Maximum number of urgent tasks for which one claim frees capacity."""
COUNTED_JOBS_COUNT: Final = 256
"""Waiting jobs of a group that are counted in a tick; a burst may have
thousands."""
COMPARED_WORKERS_COUNT: Final = 4
"""Workers that are compared for the lowest preemption cost."""


@dataclass(frozen=True, slots=True)
class Preemption:
    """Tasks to stop on a worker, and the number of urgent tasks that then fit.

    `victims` are task rows.
    """

    worker_row: int
    victims: tuple[int, ...]
    tasks_count: int

    @property
    def cost(self) -> int:
        """Returns the number of stopped tasks less that of urgent tasks."""
        return len(self.victims) - self.tasks_count


@PHASES.register('preemption')
def preempt_tasks(context: EngineContext, budget: PhaseBudget) -> bool:
    """Stops lower work for blocked urgent groups."""
    _release_claims(context, budget.now_ms)
    for key, group in list(context.reservations.urgent_blocked.items()):
        if not context.queue.is_blocked(group):
            del context.reservations.urgent_blocked[key]
            continue
        if not _preempt_for(context, group, budget):
            return False
    return True


def _release_claims(context: EngineContext, now_ms: int) -> None:
    for worker_row, claim in list(context.reservations.claims.items()):
        is_late = now_ms - claim.claimed_at_ms > CLAIM_TIMEOUT_MS
        if is_late or not _has_live_victim(context, claim):
            del context.reservations.claims[worker_row]
            context.queue.unblock_all()


def _has_live_victim(context: EngineContext, claim: PreemptionClaim) -> bool:
    tables = context.tables
    for task_id, attempt in claim.victims:
        row = tables.task_row(TaskId(task_id))
        if row is None or row == NO_ROW:
            continue
        if tables.tasks.is_live(row) and tables.tasks.attempt[row] == attempt:
            return True
    return False


def _preempt_for(
    context: EngineContext, group: Group, budget: PhaseBudget
) -> bool:
    needed_count = _needed_count(context, group)
    while needed_count > 0:
        if budget.is_exhausted():
            return False
        made = _claim_cheapest(context, group, needed_count, budget.now_ms)
        if not made:
            break
        needed_count -= made
    return True


def _needed_count(context: EngineContext, group: Group) -> int:
    jobs = context.tables.jobs
    waiting = islice(context.queue.waiting_jobs(group), COUNTED_JOBS_COUNT)
    waiting_count = sum(jobs.ready_count(row) for row in waiting)
    covered_count = sum(
        claim.tasks_count
        for claim in context.reservations.claims.values()
        if claim.key == group.key
    )
    return waiting_count - covered_count


def _claim_cheapest(
    context: EngineContext,
    group: Group,
    needed_count: int,
    now_ms: int,
) -> int:
    """Claims the worker with the lowest preemption cost.

    Returns the number of urgent tasks that will fit on it, or 0.
    """
    best: Preemption | None = None
    for worker_row in _candidate_workers(context, group):
        found = _find_victims(context, group, worker_row, needed_count)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    if best is None:
        return 0
    _apply_claim(context, group, best, now_ms)
    return best.tasks_count


def _candidate_workers(context: EngineContext, group: Group) -> Iterator[int]:
    claims = context.reservations.claims
    rows = context.preemptible_index.search(group.key.demand, is_tight=False)
    free_rows = (row for row in rows if row not in claims)
    return islice(free_rows, COMPARED_WORKERS_COUNT)


def _find_victims(
    context: EngineContext,
    group: Group,
    worker_row: int,
    needed_count: int,
) -> Preemption | None:
    """Returns the tasks to stop on a worker, or None if that doesn't help."""
    workers = context.tables.workers
    tasks = context.tables.tasks
    free = Resources(
        workers.free_cpu[worker_row],
        workers.free_memory[worker_row],
        workers.free_accelerators[worker_row],
    )
    wanted_count = min(needed_count, CLAIM_TASKS_COUNT)
    victims: list[int] = []
    best: Preemption | None = None
    best_count = 0
    for row in _preemptible_rows(context, group, worker_row):
        victims.append(row)
        free = plus(free, tasks.reserved[row])
        count = count_fitting(group.key.demand, free, wanted_count)
        if count > best_count:
            best = Preemption(worker_row, tuple(victims), count)
            best_count = count
        if count == wanted_count:
            break
    return best


def _preemptible_rows(
    context: EngineContext,
    group: Group,
    worker_row: int,
) -> list[int]:
    """Lists the rows of tasks that may be stopped, lowest cost first.

    Single tasks precede members of gangs, low work precedes normal work, and
    tasks that started last precede those that have run for long.
    """
    tables = context.tables
    preempts = get_policy(context, group.key.department).preempts
    rows = [
        row
        for row in tables.workers.task_rows[worker_row]
        if tables.tasks.state[row] is not TaskState.stopping
        and preempts(Priority.urgent, _spec_of(context, row).priority)
    ]
    return sorted(rows, key=partial(_preemption_cost, context))


def _preemption_cost(
    context: EngineContext, row: int
) -> tuple[bool, bool, int]:
    spec = _spec_of(context, row)
    return (
        spec.kind is JobKind.gang,
        spec.priority is not Priority.low,
        -context.tables.tasks.placed_at_ms[row],
    )


def _spec_of(context: EngineContext, row: int) -> JobSpec:
    tables = context.tables
    return tables.jobs.spec[tables.tasks.job_row[row]]


def _apply_claim(
    context: EngineContext,
    group: Group,
    made: Preemption,
    now_ms: int,
) -> None:
    tasks = context.tables.tasks
    context.reservations.claims[made.worker_row] = PreemptionClaim(
        group.key,
        made.tasks_count,
        [(tasks.task_id[row], tasks.attempt[row]) for row in made.victims],
        now_ms,
    )
    for row in made.victims:
        job_row = tasks.job_row[row]
        stop_attempt(context, row, PREEMPTED, is_requeued=True)
        if context.tables.jobs.spec[job_row].kind is JobKind.gang:
            stop_gang(context, job_row, PREEMPTED)


__all__ = ('preempt_tasks',)
