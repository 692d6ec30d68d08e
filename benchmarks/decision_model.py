"""A deterministic model of a deployment that plays the real decisions.

It holds targets, seeded arrivals of jobs, run times with spread and a serial
advice service, and asks the planner every tick as a leader does. There are no
faults, no store and no network: only queueing, advice and placing.
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
from radishlift.steps.asking import AdviceRequest
from radishlift.steps.endings import EndKind, apply_end
from radishlift.steps.ids import Life, QueueName, StepKey, TargetId
from radishlift.steps.order import Order, objective_at_ms
from radishlift.steps.placing import Placement
from radishlift.steps.planner import Planner
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
from radishlift.steps.tickets import Ticket, TicketBook

TICK_MS: Final = 20
SERVICE: Final = ServiceName('desk')
# A job that ends up to three times its objective after it came is late.
LATE_TIMES: Final = 3
# Share of the credit of a job in time that a late one earns.
LATE_SHARE: Final = 0.2


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of job: its rate, its shape and the terms of its queue.

    `off_share` is how far estimates lie from the true run times.
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
    off_share: float = 0.3


@dataclass(frozen=True, slots=True)
class Deployment:
    """Targets, helpers of the advice service and kinds of jobs.

    `burst` multiplies the rates between `burst_from_ms` and `burst_to_ms`.
    """

    targets_count: int
    target_millicores: int
    hosts_count: int
    kinds: tuple[Kind, ...]
    length_ms: int = 30_000
    burst: float = 1
    burst_from_ms: int = 8000
    burst_to_ms: int = 12_000


@dataclass(slots=True)
class Tally:
    """What became of the jobs of one kind."""

    in_time: int = 0
    late: int = 0
    missed: int = 0
    waits_ms: list[int] = field(default_factory=list)

    @property
    def credit_share(self) -> float:
        """Returns the credit earned as a share of the credit owed."""
        owed = self.in_time + self.late + self.missed
        return (self.in_time + LATE_SHARE * self.late) / max(1, owed)


class DecisionModel:
    """Plays one seeded load; times are milliseconds from its start."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        order: Order | None = None,
        settings: StepSettings | None = None,
    ) -> None:
        self._deployment = deployment
        # Arrivals don't depend on decisions: all orders meet the same load.
        self._random = random.Random(seed)
        self._settings = settings or StepSettings()
        self._targets = TargetTable()
        self._tickets = TicketBook()
        self._planner = Planner(self._targets, self._tickets, self._settings)
        if order:
            self._planner.order = order
        self._questions = AdviceQueue(self._settings)
        self._asked: list[tuple[int, int, AdviceRequest]] = []
        self._ends: list[tuple[int, int, JobRun, Placement]] = []
        self._kinds: dict[JobId, Kind] = {}
        self._allowed: dict[StepKey, set[TargetId]] = {}
        self._jobs: list[JobRun] = []
        self._ended_ms: dict[JobId, int] = {}
        self._begun_ms: dict[JobId, int] = {}
        self._numbers = 0
        self._is_changed = False
        self._used_ratios: list[float] = []
        for number in range(deployment.targets_count):
            self._targets.update(_entry(number, deployment))

    def play(self) -> dict[str, Tally]:
        """Plays the load until all jobs have ended or are long late."""
        horizon_ms = int(self._deployment.length_ms * 1.5)
        for now_ms in range(0, horizon_ms, TICK_MS):
            if now_ms < self._deployment.length_ms:
                self._arrive(now_ms)
            self._end_due(now_ms)
            self._answer_due(now_ms)
            if self._is_changed:
                self._decide(now_ms)
        return self._tally()

    @property
    def used_ratio(self) -> float:
        """Returns the share of processors in use, as a mean of decisions."""
        return sum(self._used_ratios) / max(1, len(self._used_ratios))

    def _arrive(self, now_ms: int) -> None:
        deployment = self._deployment
        is_burst = deployment.burst_from_ms <= now_ms < deployment.burst_to_ms
        times = deployment.burst if is_burst else 1
        for kind in deployment.kinds:
            chance = kind.jobs_per_s * times * TICK_MS / 1000
            while self._random.random() < chance:
                self._add(kind, now_ms)
                chance -= 1

    def _add(self, kind: Kind, now_ms: int) -> None:
        self._is_changed = True
        self._numbers += 1
        job_id = JobId(f'{self._numbers:016x}')
        steps = tuple(
            self._step(kind, number) for number in range(self._length(kind))
        )
        job = build_job(JobSpec(job_id, '', steps), _terms(kind), now_ms)
        self._kinds[job_id] = kind
        self._jobs.append(job)
        self._planner.refresh(job)

    def _length(self, kind: Kind) -> int:
        whole = int(kind.steps_count)
        return whole + (self._random.random() < kind.steps_count - whole)

    def _step(self, kind: Kind, number: int) -> StepSpec:
        # Widths are skewed: most steps are narrow, a few very wide.
        width = int(self._random.lognormvariate(0, 0.7) * kind.tasks_count)
        off = self._random.uniform(1 - kind.off_share, 1 + kind.off_share)
        return StepSpec(
            tasks_count=max(1, min(width, kind.max_tasks_count)),
            amounts=Amounts(kind.cpu_millicores, 100),
            estimate_ms=int(kind.run_ms * off),
            depends_on=(number - 1,) if number else (),
            is_gang=self._random.random() < kind.gang_share,
        )

    def _end_due(self, now_ms: int) -> None:
        while self._ends and self._ends[0][0] <= now_ms:
            _, _, job, placement = heapq.heappop(self._ends)
            self._is_changed = True
            task = placement.task
            placement.target.release(task.key, task.attempt)
            apply_end(job, task.key, task.attempt, EndKind.done, '')
            self._planner.refresh(job)
            if job.state is JobState.completed:
                self._ended_ms.setdefault(job.spec.job_id, now_ms)

    def _answer_due(self, now_ms: int) -> None:
        while self._asked and self._asked[0][0] <= now_ms:
            _, _, request = heapq.heappop(self._asked)
            self._learn(request, now_ms)
        hosts_count = self._deployment.hosts_count
        while len(self._asked) < hosts_count:
            long_count = sum(
                self._questions.is_long(request)
                for _, _, request in self._asked
            )
            request = self._questions.take(hosts_count, long_count)
            if request is None:
                return
            self._numbers += 1
            done_ms = now_ms + int(request.duration_ms)
            heapq.heappush(self._asked, (done_ms, self._numbers, request))

    def _learn(self, request: AdviceRequest, now_ms: int) -> None:
        self._is_changed = True
        kind = self._kinds[request.key.job_id]
        allowed = self._allowed.get(request.key)
        if allowed is None:
            allowed = self._draw(kind, request.key)
            self._allowed[request.key] = allowed
        expires_at_ms = now_ms + kind.advice.valid_ms
        tickets = [
            (one, Ticket('t', expires_at_ms))
            for one in request.target_ids
            if one in allowed
        ]
        self._tickets.learn(request.key, request.target_ids, tickets)

    def _draw(self, kind: Kind, key: StepKey) -> set[TargetId]:
        chance = random.Random(f'allowed {key}')
        return {
            target.entry.target_id
            for target in self._targets
            if chance.random() < kind.allowed_share
        }

    def _decide(self, now_ms: int) -> None:
        self._is_changed = False
        plan = self._planner.plan(now_ms, now_ms)
        for question in plan.questions:
            self._questions.add(question)
        placed: Counter[StepKey] = Counter()
        for job, placement in plan.placements:
            key = placement.task.key.step_key
            if not placed[key]:
                self._begun_ms.setdefault(job.spec.job_id, now_ms)
            placed[key] += 1
            self._start(job, placement, now_ms)
        if now_ms < self._deployment.length_ms:
            self._used_ratios.append(self._used_share())

    def _used_share(self) -> float:
        deployment = self._deployment
        used = sum(target.used.cpu_millicores for target in self._targets)
        room = deployment.targets_count * deployment.target_millicores
        return used / room

    def _start(self, job: JobRun, placement: Placement, now_ms: int) -> None:
        kind = self._kinds[job.spec.job_id]
        step = job.steps[0, placement.task.key.step_key.step]
        # The members of a gang end together.
        key = step.key if step.spec.is_gang else placement.task.key
        factor = random.Random(f'time {key}').lognormvariate(0, 0.2)
        self._numbers += 1
        end_ms = now_ms + int(kind.run_ms * factor)
        heapq.heappush(self._ends, (end_ms, self._numbers, job, placement))

    def _tally(self) -> dict[str, Tally]:
        tallies = {kind.name: Tally() for kind in self._deployment.kinds}
        for job in self._jobs:
            job_id = job.spec.job_id
            tally = tallies[self._kinds[job_id].name]
            ended_ms = self._ended_ms.get(job_id)
            came_ms = job.accepted_at_ms
            objective_ms = objective_at_ms(job, job.steps[0, 0]) - came_ms
            if ended_ms is None:
                tally.missed += 1
            elif ended_ms - came_ms <= objective_ms:
                tally.in_time += 1
            elif ended_ms - came_ms <= LATE_TIMES * objective_ms:
                tally.late += 1
            else:
                tally.missed += 1
            begun_ms = self._begun_ms.get(job_id)
            if begun_ms is not None:
                tally.waits_ms.append(begun_ms - came_ms)
        return tallies


def worth_share(deployment: Deployment, tallies: dict[str, Tally]) -> float:
    """Returns the worth earned as a share of the worth of all jobs."""
    earned = 0.0
    owed = 0.0
    for kind in deployment.kinds:
        tally = tallies[kind.name]
        count = tally.in_time + tally.late + tally.missed
        earned += kind.worth * count * tally.credit_share
        owed += kind.worth * count
    return earned / max(owed, 1e-9)


def _terms(kind: Kind) -> QueueTerms:
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
        Life(1),
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
    'Kind',
    'Tally',
    'worth_share',
)
