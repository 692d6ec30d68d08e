"""Compares waiting times and packing of the policies on traces.

A discrete-time simulation runs the engine for each department.
"""

import random
from collections.abc import Iterator
from math import ceil
from typing import Final

from benchmarks.bench_placement import CAPACITIES, make_workers
from benchmarks.harness import BENCHMARKS, Bound, Figure, at_most
from benchmarks.policy_simulation import Simulation
from benchmarks.policy_traces import (
    WEIGHTED_USAGES,
    WORKERS_COUNT,
    choose_weighted,
)
from radishlift.config.document import ConfigDocument, Department
from radishlift.core.ids import (
    ConfigVersion,
    DepartmentName,
    JobId,
    TeamName,
)
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.jobs import (
    JobKind,
    JobSpec,
    Priority,
)
from radishlift.placement.state import PartitionState

SEEDS: Final = (1, 2, 3)
PACKING_SEEDS: Final = (9, 10, 11, 12, 13, 14, 15, 16)
"""Not among the seeds 1 to 8 and 17 to 40, to which the weights of
`packing_first` are fitted."""
CHURN_LOAD_RATIO: Final = 0.6
"""Leaves some workers free to choose from; at 0.95 all of them are in use."""
URGENT_BOUND_MS: Final = 1_800
PACKING_BOUND_RATIO: Final = 1.05
PERCENTILE: Final = 0.99


def percentile(numbers: list[int], fraction: float) -> float:
    """Returns the number below which this fraction of the numbers is."""
    ordered = sorted(numbers)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def mean(numbers: list[int]) -> float:
    """Returns the mean."""
    return sum(numbers) / len(numbers)


@BENCHMARKS.register('policies')
def bench_policies() -> list[Figure]:
    """Compares waiting times, and packing with a lower bound."""
    figures: list[Figure] = []
    for department in CAPACITIES:
        for seed in SEEDS:
            figures.extend(_waiting_figures(department, seed))
            figures.extend(_churn_figures(department, seed))
        for seed in PACKING_SEEDS:
            figures.extend(_packing_figures(department, seed))
    return figures


def _waiting_figures(department: str, seed: int) -> Iterator[Figure]:
    name = f'policies.{department}.seed{seed}'
    means: dict[str, float] = {}
    for policy in ('waiting_first', 'fifo_first_fit', 'least_loaded'):
        simulation = Simulation(department, policy, seed)
        simulation.run()
        urgent_ms = simulation.waits_ms[Priority.urgent]
        bound: Bound | None = None
        if policy == 'waiting_first':
            bound = at_most(URGENT_BOUND_MS)
        yield Figure(
            f'{name}.{policy}.urgent_waiting_p99_ms',
            percentile(urgent_ms, PERCENTILE),
            bound,
        )
        waits_ms = [
            wait
            for priority_ms in simulation.waits_ms.values()
            for wait in priority_ms
        ]
        means[policy] = mean(waits_ms)
        yield Figure(f'{name}.{policy}.waiting_mean_ms', means[policy])
    for baseline in ('fifo_first_fit', 'least_loaded'):
        yield Figure(
            f'{name}.waiting_first_to_{baseline}_ratio',
            means['waiting_first'] / max(1, means[baseline]),
        )


def _churn_figures(department: str, seed: int) -> Iterator[Figure]:
    """Compares the workers in use with a lower bound while tasks come and go.

    The lower bound is the number of workers that the reservations at a moment
    need. No policy reaches it for long, since running tasks don't move.
    """
    name = f'policies.{department}.seed{seed}.churn'
    for policy in ('packing_first', 'fifo_first_fit', 'least_loaded'):
        simulation = Simulation(department, policy, seed, CHURN_LOAD_RATIO)
        simulation.run()
        yield Figure(
            f'{name}.{policy}.workers_to_lower_bound_ratio',
            simulation.used_count / simulation.needed_count,
        )


def _packing_figures(department: str, seed: int) -> Iterator[Figure]:
    """Compares the workers in use with a lower bound for a set of tasks."""
    name = f'policies.{department}.seed{seed}.packing'
    for policy in ('packing_first', 'fifo_first_fit', 'least_loaded'):
        used_count, lower_bound_count = pack_tasks(department, policy, seed)
        bound: Bound | None = None
        if policy == 'packing_first':
            bound = at_most(PACKING_BOUND_RATIO)
        yield Figure(
            f'{name}.{policy}.workers_to_lower_bound_ratio',
            used_count / lower_bound_count,
            bound,
        )


def pack_tasks(department: str, policy: str, seed: int) -> tuple[int, int]:
    """Returns the workers used for a set of tasks, and a lower bound.

    The bound is the number of workers that the sum of demands needs in the
    scarcer dimension; no packing uses fewer. It is at most 20 of the 24
    workers.
    """
    rng = random.Random(seed)
    capacity = CAPACITIES[department]
    state = PartitionState()
    engine = PlacementEngine(state, timer=float)
    departments = {DepartmentName(department): Department(policy=policy)}
    engine.apply_config(ConfigDocument(ConfigVersion(1), departments))
    for worker in make_workers(WORKERS_COUNT, capacity):
        engine.observe_worker(worker)
    engine.tick(0)
    cpu_milli = 0
    memory_mb = 0
    number = 0
    lower_bound_count = 0
    while True:
        demand = choose_weighted(rng, WEIGHTED_USAGES[department])
        cpu_milli += demand.cpu_milli
        memory_mb += demand.memory_mb
        needed = max(
            cpu_milli / capacity.cpu_milli,
            memory_mb / capacity.memory_mb,
        )
        if needed > 20:
            break
        lower_bound_count = ceil(needed)
        number += 1
        spec = JobSpec(
            JobId(f'p1.{number}'),
            DepartmentName(department),
            TeamName('team'),
            'name',
            JobKind.service,
            1,
            demand,
        )
        engine.accept(spec, 0)
    engine.tick(1)
    workers = state.tables.workers
    used_count = sum(bool(tasks) for tasks in workers.task_rows)
    if state.tables.queued_count:
        # The tasks that are still queued would need further workers.
        return WORKERS_COUNT + 1, lower_bound_count
    return used_count, lower_bound_count


__all__ = ('PACKING_BOUND_RATIO', 'bench_policies', 'pack_tasks')
