"""One tick of decisions: which waiting tasks start where.

Answers the load of all queues together: steps are offered room in the order
of `steps.order`; a gang that does not fit yet keeps some targets free,
so that a stream of smaller work can't starve it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

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
    reserved: set[TargetId] = field(default_factory=set)


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
        tick = _Tick(Plan(), now_ms, wall_ms)
        accepting = [one for one in self._targets if one.accepts(now_ms)]
        due = [
            pair
            for pair in self._waiting.values()
            if pair[1].due_at_ms <= wall_ms
        ]
        due.sort(key=lambda pair: self.order(pair[0], pair[1], wall_ms))
        for job, step in due:
            if len(tick.plan.placements) >= self._settings.max_placed_count:
                break
            self._offer(tick, job, step, accepting)
        return tick.plan

    def _offer(
        self,
        tick: _Tick,
        job: JobRun,
        step: StepRun,
        accepting: Iterable[Target],
    ) -> None:
        waiting_count = len(step.waiting())
        if step.spec.is_gang and waiting_count < len(step.tasks):
            return
        suitable = _suitable(job, step, accepting)
        usable = suitable
        if job.terms.advice is not None:
            minimum_ms = tick.now_ms + self._settings.min_ticket_ms
            has_ticket = ticket_filter(self._tickets.of(step.key), minimum_ms)
            usable = [one for one in suitable if has_ticket(one)]
        free = [
            one for one in usable if one.entry.target_id not in tick.reserved
        ]
        placements = place_step(step, free)
        self._book(tick.plan, job, step, placements)
        if len(placements) == waiting_count:
            self._waiting.pop(step.key, None)
            return
        self._ask(tick, job, step, suitable)
        if step.spec.is_gang:
            self._reserve(tick, job, step, suitable)

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
        suitable: list[Target],
    ) -> None:
        terms = job.terms.advice
        advice = self._tickets.of(step.key)
        is_pending = advice.is_asking or tick.now_ms < advice.retry_at_ms
        if terms is None or is_pending:
            return
        minimum_ms = tick.now_ms + self._settings.min_ticket_ms
        has_ticket = ticket_filter(advice, minimum_ms)
        free = [
            one
            for one in suitable
            if one.entry.target_id not in tick.reserved and not has_ticket(one)
        ]
        ids = choose_asked(step, terms, advice, free, self._settings)
        if ids:
            duration_ms = terms.decide_ms + terms.per_target_ms * len(ids)
            self._tickets.begin(step.key)
            tick.plan.questions.append(
                AdviceRequest(step.key, ids, duration_ms, job.terms.priority),
            )

    def _reserve(
        self,
        tick: _Tick,
        job: JobRun,
        step: StepRun,
        suitable: list[Target],
    ) -> None:
        limit = int(len(self._targets) * self._settings.reserved_share)
        chosen = _cheapest_set(step, self._allowed(job, step, suitable))
        if len(tick.reserved) + len(chosen) <= limit:
            tick.reserved.update(chosen)

    def _allowed(
        self,
        job: JobRun,
        step: StepRun,
        suitable: list[Target],
    ) -> list[Target]:
        if job.terms.advice is None:
            return suitable
        allowed = self._tickets.of(step.key).allowed
        return [one for one in suitable if one.entry.target_id in allowed]


def _suitable(
    job: JobRun,
    step: StepRun,
    accepting: Iterable[Target],
) -> list[Target]:
    label = step.spec.required_label
    return [
        one
        for one in accepting
        if one.entry.service == job.terms.service
        and (not label or label in one.entry.labels)
    ]


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
        capacity = target.entry.capacity
        count = 0
        while amounts.plus(amounts, count).fits_in(capacity):
            count += 1
            if count >= wanted:
                break
        if count:
            chosen.append(target.entry.target_id)
            wanted -= count
    return chosen if wanted <= 0 else []


__all__ = ('Plan', 'Planner')
