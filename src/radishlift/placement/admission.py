"""Phases that add jobs to the queue, and refusal of jobs that never fit."""

import heapq

from radishlift.core.errors import ErrorKind, Failure
from radishlift.placement.amounts import is_within
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.jobs import JobKind, JobSpec, Resources
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.queue_groups import GroupKey
from radishlift.placement.rules import (
    DIMENSIONS,
    dimension_over_quota,
    get_department,
    get_policy,
)


def admission_failure(context: EngineContext, spec: JobSpec) -> Failure | None:
    """Returns a failure if a job is invalid or can never run, else None.

    The reason names the dimension that is too small.
    """
    if spec.task_count < 1 or spec.max_attempts < 1:
        return Failure(
            ErrorKind.invalid_input,
            'task_count and max_attempts must be at least 1',
        )
    demand = spec.demand
    least = min(demand.cpu_milli, demand.memory_mb, demand.accelerators_count)
    if least < 0:
        return Failure(ErrorKind.invalid_input, 'demand must not be negative')
    dimension = _oversized_dimension(context, demand)
    if dimension:
        reason = f'no worker has enough {dimension} for a task'
        return Failure(ErrorKind.never_fits, reason)
    dimension = dimension_over_quota(context, spec)
    if dimension:
        reason = f'the quota of team {spec.team} has too little {dimension}'
        return Failure(ErrorKind.never_fits, reason)
    return None


def _oversized_dimension(context: EngineContext, demand: Resources) -> str:
    fleet = context.fleet
    if any(is_within(demand, shape) for shape in fleet.shapes):
        return ''
    shapes = {*fleet.shapes, *fleet.other_shapes}
    # While no worker is known, no job is refused.
    if not shapes or any(is_within(demand, shape) for shape in shapes):
        return ''
    for name in DIMENSIONS:
        largest = max(getattr(shape, name) for shape in shapes)
        if getattr(demand, name) > largest:
            return name
    return ' and '.join(DIMENSIONS)


@PHASES.register('admission')
def admit_jobs(context: EngineContext, budget: PhaseBudget) -> bool:
    """Adds the jobs that have queued tasks to their queue groups."""
    tables = context.tables
    for pending in (tables.queued_urgent_jobs, tables.queued_jobs):
        while pending:
            if budget.is_exhausted():
                return False
            job_row = next(iter(pending))
            del pending[job_row]
            if _is_ready(context, job_row):
                _add_to_group(context, job_row, budget.now_ms)
    return True


def _is_ready(context: EngineContext, job_row: int) -> bool:
    jobs = context.tables.jobs
    if not jobs.ready_count(job_row):
        return False
    if jobs.spec[job_row].kind is not JobKind.gang:
        return True
    # A gang starts as a whole, so it waits until no member is live.
    return not jobs.has_live_attempts(job_row)


def _add_to_group(context: EngineContext, job_row: int, now_ms: int) -> None:
    jobs = context.tables.jobs
    spec = jobs.spec[job_row]
    accepted_at_ms = jobs.accepted_at_ms[job_row]
    department = get_department(context, spec.department)
    aged_at_ms = accepted_at_ms + department.max_wait_ms
    is_aged = now_ms >= aged_at_ms
    policy = get_policy(context, spec.department)
    rank = policy.rank(spec, is_aged)
    # Aged jobs are placed in order of arrival, because that bounds the
    # waiting time of each.
    order = policy.order(spec, accepted_at_ms)
    if is_aged and policy.rank(spec, False) != rank:
        order = (accepted_at_ms,)
    key = GroupKey(
        rank,
        spec.department,
        spec.team,
        context.usage.estimates.estimate_demand(spec, context.fleet.largest),
        spec.kind is JobKind.gang,
        _members_count(context, job_row),
    )
    context.queue.add(job_row, key, order)
    if not is_aged:
        entry = (aged_at_ms, spec.job_id)
        heapq.heappush(context.queue.ageing, entry)


def _members_count(context: EngineContext, job_row: int) -> int:
    jobs = context.tables.jobs
    if jobs.spec[job_row].kind is not JobKind.gang:
        return 0
    return jobs.ready_count(job_row)


@PHASES.register('ageing')
def age_jobs(context: EngineContext, budget: PhaseBudget) -> bool:
    """Moves jobs past the maximum waiting time to the rank of aged work."""
    ageing = context.queue.ageing
    while ageing and ageing[0][0] <= budget.now_ms:
        if budget.is_exhausted():
            return False
        _, job_id = heapq.heappop(ageing)
        job_row = context.tables.jobs.row_of.get(job_id)
        if job_row is not None and _is_ready(context, job_row):
            _add_to_group(context, job_row, budget.now_ms)
    return True


__all__ = ('admission_failure', 'admit_jobs', 'age_jobs')
