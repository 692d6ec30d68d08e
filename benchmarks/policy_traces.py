"""Generates traces of jobs for the benchmark of the policies."""

import random
from dataclasses import dataclass
from typing import Any, Final

from benchmarks.bench_placement import CAPACITIES
from radishlift.core.ids import DepartmentName, JobId, TeamName
from radishlift.placement.jobs import (
    JobKind,
    JobSpec,
    Priority,
    Resources,
)

WORKERS_COUNT: Final = 24
WARM_UP_MS: Final = 20_000
TRACE_MS: Final = 60_000
LOAD_RATIO: Final = 0.95

WEIGHTED_USAGES: Final = {
    'rugs': (
        (Resources(500, 2_000), 4),
        (Resources(1_000, 4_000), 6),
        (Resources(2_000, 24_000), 2),
        (Resources(4_000, 8_000), 3),
        (Resources(10_000, 30_000), 1),
    ),
    'kits': (
        (Resources(400, 600), 4),
        (Resources(1_000, 1_500), 6),
        (Resources(1_500, 8_000), 2),
        (Resources(4_000, 3_000), 2),
        (Resources(6_000, 10_000), 1),
    ),
}
"""Actual usage of tasks and its weight in the trace: small requests, wash and
order batches, caches that need memory, and planning that needs processors."""
RUN_TIMES_MS: Final = ((500, 5), (2_000, 4), (8_000, 2), (20_000, 1))
PRIORITIES: Final = (
    (Priority.urgent, 5),
    (Priority.high, 10),
    (Priority.normal, 60),
    (Priority.low, 25),
)


@dataclass(frozen=True, slots=True)
class TracedJob:
    """A job with the actual usage and run time of its tasks."""

    arrives_at_ms: int
    spec: JobSpec
    usage: Resources
    run_time_ms: int


def choose_weighted(rng: random.Random, weighted: tuple[Any, ...]) -> Any:
    """Returns a random option, by the weights of the options."""
    options = [option for option, _ in weighted]
    return rng.choices(options, [weight for _, weight in weighted])[0]


def misdeclare(rng: random.Random, actual: int, limit: int) -> int:
    """Returns a declared amount that is off by a factor of 0.2-5."""
    factor = 5 ** rng.uniform(-1, 1)
    return max(1, min(limit, int(actual * factor)))


def make_trace(
    department: str,
    seed: int,
    load_ratio: float = LOAD_RATIO,
) -> list[TracedJob]:
    """Makes jobs whose actual usage adds up to the load of the workers."""
    rng = random.Random(seed)
    capacity = CAPACITIES[department]
    horizon_ms = WARM_UP_MS + TRACE_MS
    scale_ms = load_ratio * WORKERS_COUNT * horizon_ms
    budget_milli_ms = scale_ms * capacity.cpu_milli
    budget_mb_ms = scale_ms * capacity.memory_mb
    jobs: list[TracedJob] = []
    while budget_milli_ms > 0 and budget_mb_ms > 0:
        job = _trace_job(department, len(jobs), rng, horizon_ms)
        jobs.append(job)
        work_ms = job.run_time_ms * job.spec.task_count
        budget_milli_ms -= job.usage.cpu_milli * work_ms
        budget_mb_ms -= job.usage.memory_mb * work_ms
    return sorted(jobs, key=lambda job: job.arrives_at_ms)


def _trace_job(
    department: str,
    number: int,
    rng: random.Random,
    horizon_ms: int,
) -> TracedJob:
    capacity = CAPACITIES[department]
    usage = choose_weighted(rng, WEIGHTED_USAGES[department])
    run_time_ms = int(
        choose_weighted(rng, RUN_TIMES_MS) * rng.uniform(0.5, 1.5)
    )
    declared = Resources(
        misdeclare(rng, usage.cpu_milli, capacity.cpu_milli),
        misdeclare(rng, usage.memory_mb, capacity.memory_mb),
    )
    priority = choose_weighted(rng, PRIORITIES)
    spec = JobSpec(
        JobId(f'p1.{number}'),
        DepartmentName(department),
        TeamName(f'team{rng.randrange(8)}'),
        f'size{usage.cpu_milli}',
        JobKind.batch,
        rng.randint(1, 3),
        declared,
        run_time_ms=misdeclare(rng, run_time_ms, 10 * run_time_ms),
        priority=priority,
    )
    arrives_at_ms = rng.randrange(horizon_ms)
    return TracedJob(arrives_at_ms, spec, usage, run_time_ms)


__all__ = (
    'LOAD_RATIO',
    'WEIGHTED_USAGES',
    'TRACE_MS',
    'WARM_UP_MS',
    'WORKERS_COUNT',
    'TracedJob',
    'make_trace',
    'choose_weighted',
)
