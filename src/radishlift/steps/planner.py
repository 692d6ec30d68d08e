"""One tick of decisions: which waiting tasks start where.

Answers the load of all queues together: steps are offered room in the order
of `steps.order`; a gang that does not fit yet keeps some targets free,
so that a stream of smaller work can't starve it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from radishlift.core.ids import ServiceName
from radishlift.steps.asking import AdviceRequest, choose_asked, ticket_filter
from radishlift.steps.ids import StepKey, TargetId
from radishlift.steps.order import Order, rank
from radishlift.steps.placing import Placement, place_step
from radishlift.steps.runs import JobRun, StepRun, TaskState
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import Target, TargetTable
from radishlift.steps.tickets import TicketBook


@dataclass(slots=True)
class Plan:
    """Decisions of one tick; placements are already booked."""

    placements: list[tuple[JobRun, Placement]] = field(default_factory=list)
    questions: list[AdviceRequest] = field(default_factory=list)


@dataclass(slots=True)
class _Tick:
    plan: Plan
    now_ms: int
    wall_ms: int
    accepting: list[Target]
    reserved: set[TargetId] = field(default_factory=set)
    by_need: dict[tuple[ServiceName, str], list[Target]] = field(
        default_factory=dict,
    )

    def suitable(self, job: JobRun, step: StepRun) -> list[Target]:
        """Lists the targets of a job's service that have a step's label."""
        service, label = job.terms.service, step.spec.required_label
        found = self.by_need.get((service, label))
        if found is None:
            found = [
                one
                for one in self.accepting
                if one.entry.service == service
                and (not label or label in one.entry.labels)
            ]
            self.by_need[service, label] = found
        return found


class Planner:
    """Keeps the waiting steps and places them."""

    def __init__(
        self,
        targets: TargetTable,
        tickets: TicketBook,
        settings: StepSettings,
    ) -> None:
        self._targets = targets
        self._tickets = tickets
        self._settings = settings
        self._waiting: dict[StepKey, tuple[JobRun, StepRun]] = {}
        self.order: Order = rank

    def refresh(self, job: JobRun) -> None:
        """Notes which steps of a job wait for targets."""
        for step in job.steps.values():
            is_waiting = (
                not job.is_ended and step.is_unblocked and bool(step.waiting())
            )
            if is_waiting:
                self._waiting[step.key] = job, step
            else:
                self._waiting.pop(step.key, None)
                if step.is_done or job.is_ended:
                    self._tickets.forget(step.key)

    def is_waiting(self, key: StepKey) -> bool:
        """Tells whether a step waits for targets."""
        return key in self._waiting

    def next_due_ms(self, wall_ms: int) -> int | None:
        """Returns the earliest due time after now, in Unix time."""
        later = (
            step.due_at_ms
            for _, step in self._waiting.values()
            if step.due_at_ms > wall_ms
        )
        return min(later, default=None)

    def waiting_millicores(self) -> int:
        """Sums the processor share that waiting tasks ask for."""
        return sum(
            step.spec.booked.cpu_millicores * len(step.waiting())
            for _, step in self._waiting.values()
        )

    def plan(self, now_ms: int, wall_ms: int) -> Plan:
        """Decides for all waiting steps that are due.

        `now_ms` is monotonic and `wall_ms` is Unix time.
        """
        accepting = [one for one in self._targets if one.accepts(now_ms)]
        tick = _Tick(Plan(), now_ms, wall_ms, accepting)
        due = [
            pair
            for pair in self._waiting.values()
            if pair[1].due_at_ms <= wall_ms
        ]
        due.sort(key=lambda pair: self.order(pair[0], pair[1], wall_ms))
        for job, step in due:
            if len(tick.plan.placements) >= self._settings.max_placed_count:
                break
            self._offer(tick, job, step)
        return tick.plan

    def _offer(self, tick: _Tick, job: JobRun, step: StepRun) -> None:
        waiting_count = len(step.waiting())
        if step.spec.is_gang and waiting_count < len(step.tasks):
            return
        suitable = tick.suitable(job, step)
        allowed = suitable
        if job.terms.advice is not None:
            known = self._tickets.of(step.key).allowed
            allowed = [one for one in suitable if one.entry.target_id in known]
        # With a backlog most steps fit nowhere, and end here.
        fitting = [
            one
            for one in allowed
            if step.spec.booked.fits_in(one.room)
            and one.entry.target_id not in tick.reserved
        ]
        placements = self._place(tick, job, step, fitting)
        self._book(tick.plan, job, step, placements)
        if len(placements) == waiting_count:
            self._waiting.pop(step.key, None)
            return
        self._ask(tick, job, step, fitting)
        if step.spec.is_gang:
            self._reserve(tick, step, allowed)

    def _place(
        self,
        tick: _Tick,
        job: JobRun,
        step: StepRun,
        fitting: list[Target],
    ) -> list[Placement]:
        if job.terms.advice is not None:
            has_ticket = self._ticket_filter(tick, step)
            fitting = [one for one in fitting if has_ticket(one)]
        return place_step(step, fitting) if fitting else []

    def _ticket_filter(
        self,
        tick: _Tick,
        step: StepRun,
    ) -> Callable[[Target], bool]:
        minimum_ms = tick.now_ms + self._settings.min_ticket_ms
        return ticket_filter(self._tickets.of(step.key), minimum_ms)

    def _book(
        self,
        plan: Plan,
        job: JobRun,
        step: StepRun,
        placements: list[Placement],
    ) -> None:
        if not placements:
            return
        attempts = [one.task.attempt for one in placements]
        # All members of a gang carry the same attempt.
        gang_attempt = max(attempts) + 1
        for one in placements:
            task = one.task
            task.attempt = (
                gang_attempt if step.spec.is_gang else task.attempt + 1
            )
            task.state = TaskState.placed
            task.target_id = one.target.entry.target_id
            one.target.book(task.key, task.attempt, step.spec.booked)
            plan.placements.append((job, one))

    def _ask(
        self,
        tick: _Tick,
        job: JobRun,
        step: StepRun,
        fitting: list[Target],
    ) -> None:
        terms = job.terms.advice
        if terms is None:
            return
        advice = self._tickets.of(step.key)
        if advice.is_asking or tick.now_ms < advice.retry_at_ms:
            return
        has_ticket = self._ticket_filter(tick, step)
        ids = choose_asked(
            step,
            terms,
            [one for one in fitting if not has_ticket(one)],
            [
                one
                for one in tick.suitable(job, step)
                if one.entry.target_id not in advice.asked
                and one.entry.target_id not in tick.reserved
            ],
            self._settings,
        )
        if ids:
            duration_ms = terms.decide_ms + terms.per_target_ms * len(ids)
            self._tickets.begin(step.key)
            tick.plan.questions.append(
                AdviceRequest(step.key, ids, duration_ms, job.terms.priority),
            )

    def _reserve(
        self,
        tick: _Tick,
        step: StepRun,
        allowed: list[Target],
    ) -> None:
        limit = int(len(self._targets) * self._settings.reserved_share)
        if len(tick.reserved) >= limit:
            return
        chosen = _cheapest_set(step, allowed)
        if len(tick.reserved) + len(chosen) <= limit:
            tick.reserved.update(chosen)


def _cheapest_set(step: StepRun, allowed: list[Target]) -> list[TargetId]:
    """Chooses the targets that will soonest hold the whole gang.

    Returns none if they can't hold it even when they are empty.
    """
    wanted = len(step.tasks)
    chosen: list[TargetId] = []
    amounts = step.spec.booked
    by_room = sorted(
        allowed,
        key=lambda one: one.room.cpu_millicores,
        reverse=True,
    )
    for target in by_room:
        if wanted <= 0:
            break
        count = amounts.times_in(target.entry.capacity)
        if count:
            chosen.append(target.entry.target_id)
            wanted -= count
    return chosen if wanted <= 0 else []


__all__ = ('Plan', 'Planner')
