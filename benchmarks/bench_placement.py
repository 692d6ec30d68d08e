"""Measures the cost of placement decisions of one engine."""

import random
from time import perf_counter
from typing import Final

from benchmarks.harness import BENCHMARKS, Figure, at_least, at_most
from radishlift.core.ids import (
    DataCentreId,
    DepartmentName,
    Incarnation,
    JobId,
    RackId,
    TeamName,
    WorkerId,
)
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.jobs import (
    JobKind,
    JobSpec,
    Priority,
    Resources,
    TaskState,
    WorkerInfo,
)
from radishlift.placement.records import TaskPlaced
from radishlift.placement.state import PartitionState

SEEDS: Final = (1, 2, 3)
WORKER_COUNTS: Final = (24, 240, 2_400)
RACK_WORKERS_COUNT: Final = 8
MEASURED_STARTS_COUNT: Final = 6_000
ROUND_STARTS_COUNT: Final = 250
"""Starts that are measured with one fleet size before the next size. The cost
of cold caches after a switch is small in relation to 250 starts."""
LOAD_RATIO: Final = 0.8
CAPACITIES: Final = {
    'rugs': Resources(30_000, 130_000),
    'kits': Resources(16_000, 30_000),
}
DEMANDS: Final = (
    Resources(500, 1_000),
    Resources(1_000, 2_000),
    Resources(1_000, 6_000),
    Resources(2_000, 4_000),
    Resources(4_000, 6_000),
)
PRIORITIES: Final = (
    Priority.high,
    Priority.normal,
    Priority.normal,
    Priority.low,
)


def make_workers(count: int, capacity: Resources) -> list[WorkerInfo]:
    """Makes workers, 8 to a rack."""
    return [
        WorkerInfo(
            WorkerId(f'10.{number // 250}.0.{number % 250}:9000'),
            Incarnation('i1'),
            RackId(f'r{number // RACK_WORKERS_COUNT}'),
            DataCentreId('dc'),
            capacity,
        )
        for number in range(count)
    ]


def make_job(number: int, department: str, rng: random.Random) -> JobSpec:
    """Makes a batch job of one to three tasks."""
    return JobSpec(
        JobId(f'p1.{number}'),
        DepartmentName(department),
        TeamName(f'team{rng.randrange(8)}'),
        f'name{rng.randrange(20)}',
        JobKind.batch,
        rng.randint(1, 3),
        rng.choice(DEMANDS),
        run_time_ms=rng.choice((500, 2_000, 8_000)),
        priority=rng.choice(PRIORITIES),
    )


class EngineRun:
    """Runs an engine at a steady load and measures the time that it uses."""

    def __init__(self, count: int, department: str, seed: int) -> None:
        self._random = random.Random(seed)
        self._department = department
        self.engine = PlacementEngine(PartitionState())
        capacity = CAPACITIES[department]
        self._total = Resources(
            count * capacity.cpu_milli,
            count * capacity.memory_mb,
        )
        self._used_milli = 0
        self._used_mb = 0
        self._number = 0
        self._now_ms = 0
        self._running: list[TaskPlaced] = []
        self.spent_s: float = 0
        self.starts_count = 0
        self.decisions_s: list[float] = []
        for worker in make_workers(count, capacity):
            self.engine.observe_worker(worker)
        self.engine.tick(0)

    def fill_to_load(self) -> None:
        """Starts tasks up to the load, then resets the measurements."""
        while self._is_below_load():
            self._submit()
            self._tick()
        self.spent_s = 0
        self.starts_count = 0
        self.decisions_s = []

    def replace_tasks(self, starts_count: int) -> None:
        """Replaces random tasks by new ones until the number of starts."""
        while self.starts_count < starts_count:
            self._end_random_task()
            if self._is_below_load():
                self._submit()
            self._tick()

    def _is_below_load(self) -> bool:
        # The scarcer dimension decides; on small workers it is memory.
        cpu_ratio = self._used_milli / self._total.cpu_milli
        memory_ratio = self._used_mb / self._total.memory_mb
        return max(cpu_ratio, memory_ratio) < LOAD_RATIO

    def _submit(self) -> None:
        self._number += 1
        spec = make_job(self._number, self._department, self._random)
        begin_s = perf_counter()
        self.engine.accept(spec, self._now_ms)
        self.spent_s += perf_counter() - begin_s

    def _end_random_task(self) -> None:
        position = self._random.randrange(len(self._running))
        ended = self._running[position]
        self._running[position] = self._running[-1]
        self._running.pop()
        self._used_milli -= ended.reserved.cpu_milli
        self._used_mb -= ended.reserved.memory_mb
        begin_s = perf_counter()
        self.engine.observe_task_end(
            ended.task_id,
            ended.attempt,
            TaskState.finished,
        )
        self.spent_s += perf_counter() - begin_s

    def _tick(self) -> None:
        self._now_ms += 1
        begin_s = perf_counter()
        records = self.engine.tick(self._now_ms)
        tick_s = perf_counter() - begin_s
        self.spent_s += tick_s
        starts = [start for start in records if isinstance(start, TaskPlaced)]
        self._running.extend(starts)
        self._used_milli += sum(start.reserved.cpu_milli for start in starts)
        self._used_mb += sum(start.reserved.memory_mb for start in starts)
        self.starts_count += len(starts)
        if starts:
            self.decisions_s.append(tick_s)


def measure_in_rounds(department: str, seed: int) -> list[EngineRun]:
    """Measures an engine with each number of workers, in alternating rounds.

    On a machine with other load, the speed of a process varies by a factor of
    up to 1.7 within seconds. If the sizes were measured one after the other,
    this variation would distort the ratio of their costs.
    """
    runs = [EngineRun(count, department, seed) for count in WORKER_COUNTS]
    for run in runs:
        run.fill_to_load()
    while runs[-1].starts_count < MEASURED_STARTS_COUNT:
        for run in runs:
            run.replace_tasks(run.starts_count + ROUND_STARTS_COUNT)
    return runs


@BENCHMARKS.register('placement')
def bench_placement() -> list[Figure]:
    """Measures the rate, tail latency and growth of the cost of decisions."""
    figures: list[Figure] = []
    for department in CAPACITIES:
        for seed in SEEDS:
            figures.extend(_measure_seed(department, seed))
    return figures


def _measure_seed(department: str, seed: int) -> list[Figure]:
    name = f'placement.{department}.seed{seed}'
    runs = measure_in_rounds(department, seed)
    costs_us = [run.spent_s / run.starts_count * 1e6 for run in runs]
    decisions_ms = sorted(1000 * spent for spent in runs[0].decisions_s)
    p99_ms = decisions_ms[len(decisions_ms) * 99 // 100]
    return [
        Figure(f'{name}.rate_per_s', 1e6 / costs_us[0], at_least(5_000)),
        Figure(f'{name}.decision_p99_ms', p99_ms, at_most(5)),
        *(
            Figure(
                f'{name}.cost_at_{count}_ratio',
                cost_us / costs_us[0],
                at_most(2),
            )
            for count, cost_us in zip(
                WORKER_COUNTS[1:],
                costs_us[1:],
                strict=True,
            )
        ),
    ]


__all__ = ('bench_placement', 'measure_in_rounds')
