"""Deterministic simulation of a deployment with the real planner.

It simulates targets, seeded arrivals of jobs, random run times and a serial
advice service, and runs the planner every tick as a leader does. It covers
queueing, advice and placement, without faults, a store or a network.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from radishlift.core.ids import (
    Address,
    DataCentreId,
    JobId,
    RackId,
    ServiceName,
)
from radishlift.steps.advice_queue import AdviceQueue
from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.endings import EndKind, apply_end
from radishlift.steps.ids import QueueName, StepKey, TargetId, TargetIncarnation
from radishlift.steps.placing import Placement
from radishlift.steps.planner import Planner
from radishlift.steps.ranking import StepRanking, objective_at_ms
from radishlift.steps.runs import JobRun, JobState, build_job
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import (
    AdviceTerms,
    Amounts,
    JobSpec,
    QueueTerms,
    StepSpec,
)
from radishlift.steps.targets import TargetEntry, TargetState, TargetTable
from radishlift.steps.tickets import Ticket, TicketTable

TICK_MS: Final = 20
SERVICE: Final = ServiceName('desk')
# A job counts as late if it ends within three times its objective, else as
# missed.
MAX_LATE_FACTOR: Final = 3
# Credit of a late job as a share of that of a job in time.
LATE_CREDIT_SHARE: Final = 0.2


@dataclass(frozen=True, slots=True)
class JobKind:
    """A kind of job: its arrival rate, size and queue terms.

    `estimate_error_share` is the maximum relative error of run time
    estimates.
    """

    name: str
    jobs_per_s: float
    worth: float
    steps_count: float
    tasks_count: int
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


@dataclass(frozen=True, slots=True)
class Deployment:
    """Targets, hosts that call the advice service, and kinds of jobs.

    `burst_factor` multiplies the arrival rates from `burst_from_ms` to
    `burst_to_ms`.
    """

    targets_count: int
    target_millicores: int
    hosts_count: int
    kinds: tuple[JobKind, ...]
    duration_ms: int = 30_000
    burst_factor: float = 1
    burst_from_ms: int = 8000
    burst_to_ms: int = 12_000


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
        self._advice_queue = AdviceQueue(self._settings)
        self._open_requests: list[tuple[int, int, AdviceRequest]] = []
        self._scheduled_ends: list[tuple[int, int, JobRun, Placement]] = []
        self._kinds: dict[JobId, JobKind] = {}
        self._allowed: dict[StepKey, set[TargetId]] = {}
        self._jobs: list[JobRun] = []
        self._ended_at_ms: dict[JobId, int] = {}
        self._started_at_ms: dict[JobId, int] = {}
        self._sequence = 0
        self._is_changed = False
        self._used_ratios: list[float] = []
        for number in range(deployment.targets_count):
            self._targets.update(_entry(number, deployment))

    def run(self) -> dict[str, Tally]:
        """Simulates the load and half its duration more.

        Returns the outcomes by kind of job.
        """
        end_ms = int(self._deployment.duration_ms * 1.5)
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
        steps = tuple(
            self._draw_step(kind, number)
            for number in range(self._draw_steps_count(kind))
        )
        job = build_job(JobSpec(job_id, '', steps), _terms(kind), now_ms)
        self._kinds[job_id] = kind
        self._jobs.append(job)
        self._planner.update_job(job)

    def _draw_steps_count(self, kind: JobKind) -> int:
        whole = int(kind.steps_count)
        return whole + (self._random.random() < kind.steps_count - whole)

    def _draw_step(self, kind: JobKind, number: int) -> StepSpec:
        # Numbers of tasks are skewed: most steps are small, a few very large.
        tasks_count = int(
            self._random.lognormvariate(0, 0.7) * kind.tasks_count
        )
        error_factor = self._random.uniform(
            1 - kind.estimate_error_share, 1 + kind.estimate_error_share
        )
        return StepSpec(
            tasks_count=max(1, min(tasks_count, kind.max_tasks_count)),
            amounts=Amounts(kind.cpu_millicores, 100),
            estimate_ms=int(kind.run_ms * error_factor),
            depends_on=(number - 1,) if number else (),
            is_gang=self._random.random() < kind.gang_share,
        )

    def _end_due_tasks(self, now_ms: int) -> None:
        while self._scheduled_ends and self._scheduled_ends[0][0] <= now_ms:
            _, _, job, placement = heapq.heappop(self._scheduled_ends)
            self._is_changed = True
            task = placement.task
            placement.target.release(task.key, task.attempt)
            apply_end(job, task.key, task.attempt, EndKind.done, '')
            self._planner.update_job(job)
            if job.state is JobState.completed:
                self._ended_at_ms.setdefault(job.spec.job_id, now_ms)

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
        self._tickets.store_answer(request.key, request.target_ids, tickets)

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
        placed: Counter[StepKey] = Counter()
        for job, placement in plan.placements:
            key = placement.task.key.step_key
            if not placed[key]:
                self._started_at_ms.setdefault(job.spec.job_id, now_ms)
            placed[key] += 1
            self._start(job, placement, now_ms)
        if now_ms < self._deployment.duration_ms:
            self._used_ratios.append(self._used_share())

    def _used_share(self) -> float:
        deployment = self._deployment
        used = sum(target.used.cpu_millicores for target in self._targets)
        capacity = deployment.targets_count * deployment.target_millicores
        return used / capacity

    def _start(self, job: JobRun, placement: Placement, now_ms: int) -> None:
        kind = self._kinds[job.spec.job_id]
        step = job.steps[0, placement.task.key.step_key.step]
        # All members of a gang get the same run time.
        key = step.key if step.spec.is_gang else placement.task.key
        run_factor = random.Random(f'time {key}').lognormvariate(0, 0.2)
        self._sequence += 1
        end_ms = now_ms + int(kind.run_ms * run_factor)
        heapq.heappush(
            self._scheduled_ends, (end_ms, self._sequence, job, placement)
        )

    def _build_tallies(self) -> dict[str, Tally]:
        tallies = {kind.name: Tally() for kind in self._deployment.kinds}
        for job in self._jobs:
            job_id = job.spec.job_id
            tally = tallies[self._kinds[job_id].name]
            ended_at_ms = self._ended_at_ms.get(job_id)
            accepted_at_ms = job.accepted_at_ms
            objective_ms = (
                objective_at_ms(job, job.steps[0, 0]) - accepted_at_ms
            )
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
        Amounts(deployment.target_millicores, 1_000_000),
        frozenset((RackId(f'r{number // 8}'),)),
    )


__all__ = (
    'Deployment',
    'DecisionModel',
    'JobKind',
    'Tally',
    'worth_share',
)
