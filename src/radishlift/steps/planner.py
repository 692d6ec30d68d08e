"""Plans which waiting tasks start on which targets.

Each tick handles the steps of all queues in the order of `steps.ranking`.
A gang that does not fit yet reserves some targets, so that a stream of
smaller tasks can't starve it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from radishlift.core.ids import ServiceName
from radishlift.steps.advice_requests import (
    AdviceRequest,
    choose_advice_targets,
    valid_ticket_filter,
)
from radishlift.steps.ids import StepKey, TargetId
from radishlift.steps.placing import Placement, place_step
from radishlift.steps.ranking import StepRanking, rank_step
from radishlift.steps.runs import JobRun, StepRun, TaskState
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import Target, TargetTable
from radishlift.steps.tickets import TicketTable


@dataclass(slots=True)
class Plan:
    """Decisions of one tick; placements are already allocated."""

    placements: list[tuple[JobRun, Placement]] = field(default_factory=list)
    advice_requests: list[AdviceRequest] = field(default_factory=list)


@dataclass(slots=True)
class _Tick:
    plan: Plan
    now_ms: int
    wall_ms: int
    accepting: list[Target]
    reserved: set[TargetId] = field(default_factory=set)
    by_requirement: dict[tuple[ServiceName, str], list[Target]] = field(
        default_factory=dict,
    )

    def suitable_targets(self, job: JobRun, step: StepRun) -> list[Target]:
        """Lists targets of the job's service with the step's label."""
        service, label = job.terms.service, step.spec.required_label
        found = self.by_requirement.get((service, label))
        if found is None:
            found = [
                target
                for target in self.accepting
                if target.entry.service == service
                and (not label or label in target.entry.labels)
            ]
            self.by_requirement[service, label] = found
        return found


class Planner:
    """Tracks the waiting steps and places their tasks."""

    def __init__(
        self,
        targets: TargetTable,
        tickets: TicketTable,
        settings: StepSettings,
    ) -> None:
        self._targets = targets
        self._tickets = tickets
        self._settings = settings
        self._waiting: dict[StepKey, tuple[JobRun, StepRun]] = {}
        self.ranking: StepRanking = rank_step

    def update_job(self, job: JobRun) -> None:
        """Updates which steps of a job wait for targets."""
        for step in job.steps.values():
            is_waiting = (
                not job.is_ended
                and step.is_unblocked
                and bool(step.waiting_tasks())
            )
            if is_waiting:
                self._waiting[step.key] = job, step
            else:
                self._waiting.pop(step.key, None)
                if step.is_done or job.is_ended:
                    self._tickets.remove_step(step.key)

    def is_waiting(self, key: StepKey) -> bool:
        """Returns whether a step waits for targets."""
        return key in self._waiting

    def next_due_ms(self, wall_ms: int) -> int | None:
        """Returns the earliest due time after `wall_ms`, in Unix time."""
        later = (
            step.due_at_ms
            for _, step in self._waiting.values()
            if step.due_at_ms > wall_ms
        )
        return min(later, default=None)

    def waiting_millicores(self) -> int:
        """Returns the sum of millicores that waiting tasks need."""
        return sum(
            step.spec.allocated_amounts.cpu_millicores
            * len(step.waiting_tasks())
            for _, step in self._waiting.values()
        )

    def plan(self, now_ms: int, wall_ms: int) -> Plan:
        """Plans all waiting steps that are due.

        `now_ms` is monotonic and `wall_ms` is Unix time.
        """
        accepting = [
            target for target in self._targets if target.accepts(now_ms)
        ]
        tick = _Tick(Plan(), now_ms, wall_ms, accepting)
        due = [
            pair
            for pair in self._waiting.values()
            if pair[1].due_at_ms <= wall_ms
        ]
        due.sort(key=lambda pair: self.ranking(pair[0], pair[1], wall_ms))
        for job, step in due:
            if len(tick.plan.placements) >= self._settings.max_placed_count:
                break
            self._plan_step(tick, job, step)
        return tick.plan

    def _plan_step(self, tick: _Tick, job: JobRun, step: StepRun) -> None:
        waiting_count = len(step.waiting_tasks())
        if step.spec.is_gang and waiting_count < len(step.tasks):
            return
        suitable = tick.suitable_targets(job, step)
        allowed = suitable
        if job.terms.advice is not None:
            known = self._tickets.advice_for(step.key).allowed
            allowed = [
                target for target in suitable if target.entry.target_id in known
            ]
        # During a backlog this list is empty for most steps.
        fitting = [
            target
            for target in allowed
            if step.spec.allocated_amounts.fits_in(target.free_capacity)
            and target.entry.target_id not in tick.reserved
        ]
        placements = self._place(tick, job, step, fitting)
        self._allocate(tick.plan, job, step, placements)
        if len(placements) == waiting_count:
            self._waiting.pop(step.key, None)
            return
        self._request_advice(tick, job, step, fitting)
        if step.spec.is_gang:
            self._reserve_targets(tick, step, allowed)

    def _place(
        self,
        tick: _Tick,
        job: JobRun,
        step: StepRun,
        fitting: list[Target],
    ) -> list[Placement]:
        if job.terms.advice is not None:
            has_ticket = self._ticket_filter(tick, step)
            fitting = [target for target in fitting if has_ticket(target)]
        return place_step(step, fitting) if fitting else []

    def _ticket_filter(
        self,
        tick: _Tick,
        step: StepRun,
    ) -> Callable[[Target], bool]:
        expires_after_ms = tick.now_ms + self._settings.min_ticket_ms
        return valid_ticket_filter(
            self._tickets.advice_for(step.key), expires_after_ms
        )

    def _allocate(
        self,
        plan: Plan,
        job: JobRun,
        step: StepRun,
        placements: list[Placement],
    ) -> None:
        if not placements:
            return
        attempts = [placement.task.attempt for placement in placements]
        # All members of a gang have the same attempt number.
        gang_attempt = max(attempts) + 1
        for placement in placements:
            task = placement.task
            task.attempt = (
                gang_attempt if step.spec.is_gang else task.attempt + 1
            )
            task.state = TaskState.placed
            task.target_id = placement.target.entry.target_id
            placement.target.allocate(
                task.key, task.attempt, step.spec.allocated_amounts
            )
            plan.placements.append((job, placement))

    def _request_advice(
        self,
        tick: _Tick,
        job: JobRun,
        step: StepRun,
        fitting: list[Target],
    ) -> None:
        terms = job.terms.advice
        if terms is None:
            return
        advice = self._tickets.advice_for(step.key)
        if advice.has_open_request or tick.now_ms < advice.retry_at_ms:
            return
        has_ticket = self._ticket_filter(tick, step)
        ids = choose_advice_targets(
            step,
            terms,
            [target for target in fitting if not has_ticket(target)],
            [
                target
                for target in tick.suitable_targets(job, step)
                if target.entry.target_id not in advice.requested
                and target.entry.target_id not in tick.reserved
            ],
            self._settings,
        )
        if ids:
            duration_ms = terms.decide_ms + terms.per_target_ms * len(ids)
            self._tickets.start_request(step.key)
            tick.plan.advice_requests.append(
                AdviceRequest(step.key, ids, duration_ms, job.terms.priority),
            )

    def _reserve_targets(
        self,
        tick: _Tick,
        step: StepRun,
        allowed: list[Target],
    ) -> None:
        limit = int(len(self._targets) * self._settings.reserved_share)
        if len(tick.reserved) >= limit:
            return
        chosen = _choose_gang_targets(step, allowed)
        if len(tick.reserved) + len(chosen) <= limit:
            tick.reserved.update(chosen)


def _choose_gang_targets(
    step: StepRun, allowed: list[Target]
) -> list[TargetId]:
    """Selects targets to reserve for a gang, those with most free CPU first.

    Returns an empty list if the gang would not fit on all of them empty.
    """
    remaining_count = len(step.tasks)
    chosen: list[TargetId] = []
    amounts = step.spec.allocated_amounts
    by_free_capacity = sorted(
        allowed,
        key=lambda target: target.free_capacity.cpu_millicores,
        reverse=True,
    )
    for target in by_free_capacity:
        if remaining_count <= 0:
            break
        count = amounts.count_fitting(target.entry.capacity)
        if count:
            chosen.append(target.entry.target_id)
            remaining_count -= count
    return chosen if remaining_count <= 0 else []


__all__ = ('Plan', 'Planner')
