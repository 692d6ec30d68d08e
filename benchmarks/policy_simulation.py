"""Discrete-time simulation of one placement engine on a trace of jobs.

Tasks run for the time given by the trace, which differs from the run time
that their jobs declare.
"""

import heapq
from itertools import count
from math import ceil
from typing import Final

from benchmarks.bench_placement import CAPACITIES, make_workers
from benchmarks.policy_traces import (
    LOAD_RATIO,
    TRACE_MS,
    WARM_UP_MS,
    WORKERS_COUNT,
    TracedJob,
    make_trace,
)
from radishlift.config.document import ConfigDocument, Department
from radishlift.core.ids import ConfigVersion, DepartmentName, TaskId
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.jobs import (
    Priority,
    TaskState,
    UsageReport,
    job_id_of,
)
from radishlift.placement.orders import Order, OrderKind
from radishlift.placement.records import TaskPlaced
from radishlift.placement.state import PartitionState

TICK_MS: Final = 20
STOP_MS: Final = 100
"""Time from a stop order until the attempt has ended."""
REPORT_INTERVAL_MS: Final = 1_000


class Simulation:
    """Runs a trace on one engine in steps of simulated time."""

    def __init__(
        self,
        department: str,
        policy: str,
        seed: int,
        load_ratio: float = LOAD_RATIO,
    ) -> None:
        trace = make_trace(department, seed, load_ratio)
        self.jobs = {job.spec.job_id: job for job in trace}
        self.capacity = CAPACITIES[department]
        self.now_ms = 0
        self.used_count = 0
        self.needed_count = 0
        self.waits_ms: dict[Priority, list[int]] = {}
        self.ended_counts: dict[TaskState, int] = {}
        # The number orders entries of one attempt: it may finish at just
        # the time at which its stop takes effect.
        self._ends: list[tuple[int, TaskId, int, int, TaskState]] = []
        self._numbers = count()
        self._running: dict[tuple[TaskId, int], TaskPlaced] = {}
        self.state = PartitionState()
        self.engine = PlacementEngine(self.state, timer=float)
        departments = {
            DepartmentName(department): Department(policy=policy),
        }
        self.engine.apply_config(ConfigDocument(ConfigVersion(1), departments))
        for worker in make_workers(WORKERS_COUNT, CAPACITIES[department]):
            self.engine.observe_worker(worker)

    def run(self) -> None:
        """Runs the simulation until the end of the trace."""
        arrivals = iter(self.jobs.values())
        upcoming = next(arrivals, None)
        while self.now_ms < WARM_UP_MS + TRACE_MS:
            while upcoming and upcoming.arrives_at_ms <= self.now_ms:
                self.engine.accept(upcoming.spec, self.now_ms)
                upcoming = next(arrivals, None)
            self._end_attempts()
            if not self.now_ms % REPORT_INTERVAL_MS:
                self._report_usage()
            for record in self.engine.tick(self.now_ms):
                if isinstance(record, TaskPlaced):
                    self._start(record)
            self._apply_orders()
            if self.now_ms >= WARM_UP_MS:
                self._count_used_workers()
            self.now_ms += TICK_MS
        self._count_waiting()

    def _count_used_workers(self) -> None:
        workers = self.state.tables.workers
        self.used_count += sum(bool(tasks) for tasks in workers.task_rows)
        free_cpu_part = sum(workers.free_cpu) / self.capacity.cpu_milli
        free_memory_part = sum(workers.free_memory) / self.capacity.memory_mb
        most_free = min(free_cpu_part, free_memory_part)
        self.needed_count += ceil(WORKERS_COUNT - most_free)

    def _start(self, start: TaskPlaced) -> None:
        job = self.jobs[job_id_of(start.task_id)]
        self._running[start.task_id, start.attempt] = start
        end_ms = self.now_ms + job.run_time_ms
        self._schedule_end(end_ms, start, TaskState.finished)
        if start.attempt == 1:
            self._count_wait(job)

    def _count_wait(self, job: TracedJob) -> None:
        if job.arrives_at_ms >= WARM_UP_MS:
            waits_ms = self.waits_ms.setdefault(job.spec.priority, [])
            waits_ms.append(self.now_ms - job.arrives_at_ms)

    def _count_waiting(self) -> None:
        """Adds the waiting times of tasks that have not started."""
        tables = self.state.tables
        for job in self.jobs.values():
            row = tables.jobs.row_of.get(job.spec.job_id)
            if row is None:
                continue
            first_index = tables.jobs.first_unstarted_index[row]
            for _ in range(first_index, job.spec.task_count):
                self._count_wait(job)

    def _end_attempts(self) -> None:
        while self._ends and self._ends[0][0] <= self.now_ms:
            _, task_id, attempt, _, state = heapq.heappop(self._ends)
            if self._running.pop((task_id, attempt), None) is not None:
                self.engine.observe_task_end(task_id, attempt, state)

    def _apply_orders(self) -> None:
        for order in self.engine.pop_orders():
            if order.kind is OrderKind.stop:
                end_ms = self.now_ms + STOP_MS
                self._schedule_end(end_ms, order, TaskState.cancelled)

    def _schedule_end(
        self,
        end_ms: int,
        attempt: TaskPlaced | Order,
        state: TaskState,
    ) -> None:
        number = next(self._numbers)
        end = (end_ms, attempt.task_id, attempt.attempt, number, state)
        heapq.heappush(self._ends, end)

    def _report_usage(self) -> None:
        reports: dict[str, list[UsageReport]] = {}
        for start in self._running.values():
            usage = self.jobs[job_id_of(start.task_id)].usage
            run_ms = self.now_ms - start.placed_at_ms
            reports.setdefault(start.worker_id, []).append(
                UsageReport(start.task_id, start.attempt, usage, run_ms, 0),
            )
        for worker_id, usage_reports in reports.items():
            self.engine.observe_usage(worker_id, usage_reports, self.now_ms)


__all__ = ('Simulation',)
