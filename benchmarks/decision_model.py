"""Deterministic simulation of a deployment with the real planner.

It simulates targets, seeded arrivals of jobs, random run times and a serial
advice service, and runs the planner every tick as a leader does. It covers
queueing, advice and placement, without faults, a store or a network.
"""

import heapq
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

from radishlift.core.ids import (
    Address,
    DataCentreId,
    JobId,
    RackId,
    ServiceName,
    WorkspaceName,
)
from radishlift.steps.advice_queue import AdviceQueue
from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.chains import advice_ms
from radishlift.steps.endings import EndKind, apply_end
from radishlift.steps.ids import (
    QueueName,
    StepKey,
    TargetId,
    TargetIncarnation,
    TaskKey,
)
from radishlift.steps.placing import Placement
from radishlift.steps.planner import Planner
from radishlift.steps.ranking import StepRanking
from radishlift.steps.runs import JobRun, JobState, StepRun, TaskRun, build_job
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import (
    AdviceTerms,
    Amounts,
    JobSpec,
    QueueTerms,
    StepSpec,
)
from radishlift.steps.speeds import SpeedTable
from radishlift.steps.step_run_times import TaskRunTime
from radishlift.steps.targets import TargetEntry, TargetState, TargetTable
from radishlift.steps.tickets import Ticket, TicketTable
from radishlift.steps.workspaces import NO_WORKSPACE

TICK_MS: Final = 20
SERVICE: Final = ServiceName('desk')
_SLOW_INTERVAL: Final = 3
# Tasks of a step take up to this share less than its longest one.
_UNEVEN_SHARE: Final = 0.3
# A job counts as late if it ends within three times its objective, else as
# missed.
MAX_LATE_FACTOR: Final = 3
# Credit of a late job as a share of that of a job in time.
LATE_CREDIT_SHARE: Final = 0.2


@dataclass(frozen=True, slots=True)
class JobKind:
    """A kind of job: its arrival rate, size and queue terms.

    `estimate_error_share` is the maximum relative error of run time
    estimates. A spread is the standard deviation of the logarithm of a size
    that is drawn for each step.
    """

    name: str
    jobs_per_s: float
    worth: float
    steps_count: float
    tasks_count: float
    max_tasks_count: int
    cpu_millicores: int
    run_ms: int
    gang_share: float
    priority: int
    stretch: float
    objective_ms: int
    advice: AdviceTerms
    allowed_share: float
    estimate_error_share: float = 0.3
    memory_mb: int = 100
    tasks_spread: float = 0.7
    amounts_spread: float = 0
    run_spread: float = 0.2


@dataclass(frozen=True, slots=True)
class Deployment:
    """Targets, hosts that call the advice service, and kinds of jobs.

    `burst_factor` multiplies the arrival rates from `burst_from_ms` to
    `burst_to_ms`. Every third target takes `slow_factor` times as long for its
    tasks, and for a gang that uses it; with `speed_factors` each target takes
    the next of these factors in turn instead. A `tail_share` of the tasks that
    are no members of gangs takes `tail_factor` times as long, which their
    objective allows. An attempt fails with `failure_share`, at any time of its
    run; callers see the end of a job `seen_after_ms` later. The simulation goes
    on for `settle_ms` after the last arrival, or half of the duration.
    """

    targets_count: int
    target_millicores: int
    hosts_count: int
    kinds: tuple[JobKind, ...]
    duration_ms: int = 30_000
    burst_factor: float = 1
    burst_from_ms: int = 8000
    burst_to_ms: int = 12_000
    target_memory_mb: int = 1_000_000
    slow_factor: float = 1
    speed_factors: tuple[float, ...] = ()
    tail_share: float = 0
    tail_factor: float = 7
    failure_share: float = 0
    seen_after_ms: int = 0
    settle_ms: int = 0

    def speed_factor(self, number: int) -> float:
        """Returns the run time factor of a target by its number."""
        if self.speed_factors:
            return self.speed_factors[number % len(self.speed_factors)]
        return 1 if number % _SLOW_INTERVAL else self.slow_factor


@dataclass(slots=True)
class Tally:
    """Outcomes of the jobs of one kind."""

    in_time: int = 0
    late: int = 0
    missed: int = 0
    waits_ms: list[int] = field(default_factory=list)

    @property
    def credit_share(self) -> float:
        """Returns the earned share of the possible credit."""
        total = self.in_time + self.late + self.missed
        return (self.in_time + LATE_CREDIT_SHARE * self.late) / max(1, total)


class DecisionModel:
    """Simulates one seeded load; times are milliseconds from its start."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        ranking: StepRanking | None = None,
        settings: StepSettings | None = None,
        speeds: SpeedTable | None = None,
    ) -> None:
        self._deployment = deployment
        # Arrivals do not depend on decisions, so that all rankings get the
        # same load.
        self._random = random.Random(seed)
        self._settings = settings or StepSettings()
        self._targets = TargetTable()
        self._tickets = TicketTable()
        self._planner = Planner(self._targets, self._tickets, self._settings)
        if ranking:
            self._planner.ranking = ranking
        if speeds:
            self._planner.use_speeds(speeds)
        self._advice_queue = AdviceQueue(
            self._settings, lambda: self._planner.last_tick.request_ranks
        )
        self._planner.count_queued_requests = self._advice_queue.__len__
        self._open_requests: list[tuple[int, int, AdviceRequest]] = []
        self._scheduled_ends: list[tuple[int, int, JobRun, Placement]] = []
        self._kinds: dict[JobId, JobKind] = {}
        self._allowed: dict[StepKey, set[TargetId]] = {}
        self._jobs: list[JobRun] = []
        self._ended_at_ms: dict[JobId, int] = {}
        self._started_at_ms: dict[JobId, int] = {}
        self._failing: set[TaskKey] = set()
        self._task_started_at_ms: dict[TaskKey, int] = {}
        self._sequence = 0
        self._is_changed = False
        self._used_ratios: list[float] = []
        self._jobs_by_id: dict[JobId, JobRun] = {}
        self._step_run_ms: list[float] = []
        self._run_ms: dict[JobId, tuple[float, ...]] = {}
        self._factors: dict[TargetId, float] = {}
        for number in range(deployment.targets_count):
            entry = _entry(number, deployment)
            self._targets.update(entry)
            self._factors[entry.target_id] = deployment.speed_factor(number)

    def run(self) -> dict[str, Tally]:
        """Simulates the load until most jobs have ended.

        Returns the outcomes by kind of job.
        """
        duration_ms = self._deployment.duration_ms
        settled_ms = duration_ms + self._deployment.settle_ms
        end_ms = max(int(duration_ms * 1.5), settled_ms)
        for now_ms in range(0, end_ms, TICK_MS):
            if now_ms < self._deployment.duration_ms:
                self._add_arrivals(now_ms)
            self._end_due_tasks(now_ms)
            self._process_advice(now_ms)
            if self._is_changed:
                self._plan(now_ms)
        return self._build_tallies()

    @property
    def used_ratio(self) -> float:
        """Returns the mean allocated share of processors at planner runs."""
        return sum(self._used_ratios) / max(1, len(self._used_ratios))

    def _add_arrivals(self, now_ms: int) -> None:
        deployment = self._deployment
        is_burst = deployment.burst_from_ms <= now_ms < deployment.burst_to_ms
        rate_factor = deployment.burst_factor if is_burst else 1
        for kind in deployment.kinds:
            expected_count = kind.jobs_per_s * rate_factor * TICK_MS / 1000
            while self._random.random() < expected_count:
                self._add_job(kind, now_ms)
                expected_count -= 1

    def _add_job(self, kind: JobKind, now_ms: int) -> None:
        self._is_changed = True
        self._sequence += 1
        job_id = JobId(f'{self._sequence:016x}')
        self._step_run_ms = []
        steps = tuple(
            self._draw_step(kind, number)
            for number in range(self._draw_steps_count(kind))
        )
        job = build_job(JobSpec(job_id, '', steps), _terms(kind), now_ms)
        job.workspace = self._draw_workspace()
        self._kinds[job_id] = kind
        self._jobs.append(job)
        self._jobs_by_id[job_id] = job
        self._run_ms[job_id] = tuple(self._step_run_ms)
        self._planner.update_job(job)

    def _draw_workspace(self) -> WorkspaceName:
        return NO_WORKSPACE

    def _draw_steps_count(self, kind: JobKind) -> int:
        whole = int(kind.steps_count)
        return whole + (self._random.random() < kind.steps_count - whole)

    def _draw_step(self, kind: JobKind, number: int) -> StepSpec:
        # Numbers of tasks are skewed: most steps are small, a few very large.
        tasks_count = int(
            self._random.lognormvariate(0, kind.tasks_spread) * kind.tasks_count
        )
        error_factor = self._random.uniform(
            1 - kind.estimate_error_share, 1 + kind.estimate_error_share
        )
        run_ms = kind.run_ms * self._random.lognormvariate(0, kind.run_spread)
        self._step_run_ms.append(run_ms)
        return StepSpec(
            tasks_count=max(1, min(tasks_count, kind.max_tasks_count)),
            amounts=self._draw_amounts(kind),
            estimate_ms=int(run_ms * error_factor),
            depends_on=(number - 1,) if number else (),
            is_gang=self._random.random() < kind.gang_share,
        )

    def _draw_amounts(self, kind: JobKind) -> Amounts:
        if not kind.amounts_spread:
            return Amounts(kind.cpu_millicores, kind.memory_mb)
        cpu_factor, memory_factor = (
            self._random.lognormvariate(0, kind.amounts_spread)
            for _ in range(2)
        )
        # Any step fits on two thirds of a target.
        deployment = self._deployment
        return Amounts(
            int(
                min(
                    kind.cpu_millicores * cpu_factor,
                    deployment.target_millicores / 1.5,
                )
            ),
            int(
                min(
                    kind.memory_mb * memory_factor,
                    deployment.target_memory_mb / 1.5,
                )
            ),
        )

    def _end_due_tasks(self, now_ms: int) -> None:
        while self._scheduled_ends and self._scheduled_ends[0][0] <= now_ms:
            _, _, job, placement = heapq.heappop(self._scheduled_ends)
            self._is_changed = True
            task = placement.task
            has_failed = task.key in self._failing
            self._failing.discard(task.key)
            if not has_failed:
                self._learn(job, placement, now_ms)
            placement.target.release(task.key, task.attempt)
            kind = EndKind.failed if has_failed else EndKind.done
            apply_end(job, task.key, task.attempt, kind, '')
            self._planner.update_job(job)
            if job.state is JobState.completed:
                self._ended_at_ms.setdefault(job.spec.job_id, now_ms)

    def _learn(self, job: JobRun, placement: Placement, now_ms: int) -> None:
        """Learns from a task that is done, as a leader does."""
        task_key = placement.task.key
        step = job.steps[0, task_key.step_key.step]
        if step.spec.is_gang:
            return
        run_time = TaskRunTime(
            task_key.step_key,
            job.terms.queue,
            step.spec.tasks_count,
            step.spec.estimate_ms,
            now_ms - self._task_started_at_ms.pop(task_key),
        )
        self._planner.speeds.observe(placement.target.entry, run_time, now_ms)

    def _process_advice(self, now_ms: int) -> None:
        while self._open_requests and self._open_requests[0][0] <= now_ms:
            _, _, request = heapq.heappop(self._open_requests)
            self._store_answer(request, now_ms)
        hosts_count = self._deployment.hosts_count
        while len(self._open_requests) < hosts_count:
            long_count = sum(
                self._advice_queue.is_long(request)
                for _, _, request in self._open_requests
            )
            request = self._advice_queue.pop(hosts_count, long_count)
            if request is None:
                return
            self._sequence += 1
            answered_at_ms = now_ms + int(request.duration_ms)
            heapq.heappush(
                self._open_requests, (answered_at_ms, self._sequence, request)
            )

    def _store_answer(self, request: AdviceRequest, now_ms: int) -> None:
        self._is_changed = True
        kind = self._kinds[request.key.job_id]
        allowed = self._allowed.get(request.key)
        if allowed is None:
            allowed = self._draw_allowed(kind, request.key)
            self._allowed[request.key] = allowed
        expires_at_ms = now_ms + kind.advice.valid_ms
        tickets = [
            (target_id, Ticket('t', expires_at_ms))
            for target_id in request.target_ids
            if target_id in allowed
        ]
        self._tickets.store_answer(request, tickets)

    def _draw_allowed(self, kind: JobKind, key: StepKey) -> set[TargetId]:
        generator = random.Random(f'allowed {key}')
        return {
            target.entry.target_id
            for target in self._targets
            if generator.random() < kind.allowed_share
        }

    def _plan(self, now_ms: int) -> None:
        self._is_changed = False
        plan = self._planner.plan(now_ms, now_ms)
        for request in plan.advice_requests:
            self._advice_queue.add(request)
        by_step: defaultdict[StepKey, list[Placement]] = defaultdict(list)
        for job, placement in plan.placements:
            by_step[placement.task.key.step_key].append(placement)
            self._started_at_ms.setdefault(job.spec.job_id, now_ms)
        for placements in by_step.values():
            self._start(placements, now_ms)
        if now_ms < self._deployment.duration_ms:
            self._used_ratios.append(self._used_share())

    def _used_share(self) -> float:
        deployment = self._deployment
        used = sum(target.used.cpu_millicores for target in self._targets)
        capacity = deployment.targets_count * deployment.target_millicores
        return used / capacity

    def _start(self, placements: list[Placement], now_ms: int) -> None:
        """Starts tasks of one step, which may be all members of a gang."""
        step_key = placements[0].task.key.step_key
        job = self._jobs_by_id[step_key.job_id]
        is_gang = job.steps[0, step_key.step].spec.is_gang
        step_run_ms = self._run_ms[step_key.job_id][step_key.step]
        slowest = max(map(self._speed_factor, placements))
        for placement in placements:
            # All members of a gang take as long as the slowest one.
            task_key = placement.task.key
            factor = slowest
            if not is_gang:
                factor = self._speed_factor(placement)
                factor *= self._tail_factor(task_key) * _task_factor(task_key)
                factor *= self._draw_failure(placement.task)
            self._task_started_at_ms[task_key] = now_ms
            self._sequence += 1
            end_ms = now_ms + int(step_run_ms * factor)
            heapq.heappush(
                self._scheduled_ends, (end_ms, self._sequence, job, placement)
            )

    def _speed_factor(self, placement: Placement) -> float:
        return self._factors[placement.target.entry.target_id]

    def _draw_failure(self, task: TaskRun) -> float:
        """Returns after which share of its run an attempt ends."""
        generator = random.Random(f'failure {task.key} {task.attempt}')
        if generator.random() >= self._deployment.failure_share:
            return 1
        self._failing.add(task.key)
        return generator.uniform(0.1, 1)

    def _tail_factor(self, key: TaskKey) -> float:
        deployment = self._deployment
        is_tail = random.Random(f'tail {key}').random() < deployment.tail_share
        return deployment.tail_factor if is_tail else 1

    def _longest_tail(self, step: StepRun) -> float:
        if step.spec.is_gang:
            return 1
        return max(self._tail_factor(task.key) for task in step.tasks)

    def _objective_ms(self, job: JobRun) -> float:
        """Returns the objective by true run times, which no decision knows."""
        run_ms = self._run_ms[job.spec.job_id]
        chain_ms = sum(
            step_run_ms * self._longest_tail(step)
            for step_run_ms, step in zip(
                run_ms, job.steps.values(), strict=True
            )
        )
        chain_ms += len(job.spec.steps) * advice_ms(job.terms.advice)
        return job.terms.stretch * chain_ms + job.terms.objective_ms

    def _build_tallies(self) -> dict[str, Tally]:
        tallies = {kind.name: Tally() for kind in self._deployment.kinds}
        for job in self._jobs:
            job_id = job.spec.job_id
            tally = tallies[self._kinds[job_id].name]
            ended_at_ms = self._ended_at_ms.get(job_id)
            accepted_at_ms = job.accepted_at_ms
            objective_ms = self._objective_ms(job)
            if ended_at_ms is not None:
                ended_at_ms += self._deployment.seen_after_ms
            if ended_at_ms is None:
                tally.missed += 1
            elif ended_at_ms - accepted_at_ms <= objective_ms:
                tally.in_time += 1
            elif ended_at_ms - accepted_at_ms <= MAX_LATE_FACTOR * objective_ms:
                tally.late += 1
            else:
                tally.missed += 1
            started_at_ms = self._started_at_ms.get(job_id)
            if started_at_ms is not None:
                tally.waits_ms.append(started_at_ms - accepted_at_ms)
        return tallies


def _task_factor(key: TaskKey) -> float:
    """Returns the run time of a task as a share of that of its step."""
    return random.Random(f'time {key}').uniform(1 - _UNEVEN_SHARE, 1)


def worth_share(deployment: Deployment, tallies: dict[str, Tally]) -> float:
    """Returns the earned worth as a share of the worth of all jobs."""
    earned = 0.0
    total = 0.0
    for kind in deployment.kinds:
        tally = tallies[kind.name]
        count = tally.in_time + tally.late + tally.missed
        earned += kind.worth * count * tally.credit_share
        total += kind.worth * count
    return earned / max(total, 1e-9)


def _terms(kind: JobKind) -> QueueTerms:
    return QueueTerms(
        QueueName(kind.name),
        SERVICE,
        priority=kind.priority,
        max_attempts=4,
        stretch=kind.stretch,
        objective_ms=kind.objective_ms,
        advice=kind.advice,
    )


def _entry(number: int, deployment: Deployment) -> TargetEntry:
    return TargetEntry(
        TargetId(f't{number:03}'),
        TargetIncarnation(1),
        SERVICE,
        Address('127.0.0.1:1'),
        DataCentreId('z1'),
        TargetState.ready,
        Amounts(deployment.target_millicores, deployment.target_memory_mb),
        frozenset((RackId(f'r{number // 8}'),)),
    )


__all__ = (
    'Deployment',
    'DecisionModel',
    'JobKind',
    'Tally',
    'worth_share',
)
