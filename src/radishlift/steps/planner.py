"""Plans which waiting tasks start on which targets.

Each tick handles the steps of all queues in the order of `steps.ranking`.
A gang that does not fit yet reserves some targets, so that a stream of
smaller tasks can't starve it. Steps that are ranked later use reserved targets
only for tasks that probably end before the gang starts, and steps that are
ranked earlier only if no other targets fit.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice

from radishlift.core.ids import ServiceName
from radishlift.steps.advice_requests import (
    AdviceRequest,
    build_request,
    choose_advice_targets,
    choose_gang_advice_targets,
    request_duration_ms,
)
from radishlift.steps.gang_reservations import GangReservations, Reservation
from radishlift.steps.ids import StepKey, TargetId
from radishlift.steps.placing import Placement, place_step
from radishlift.steps.ranking import StepRanking, rank_step
from radishlift.steps.runs import JobRun, StepRun, TaskState
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import Target, TargetTable
from radishlift.steps.tickets import TicketTable, valid_ticket_filter


@dataclass(slots=True)
class Plan:
    """Decisions of one tick; placements are already allocated."""

    placements: list[tuple[JobRun, Placement]] = field(default_factory=list)
    advice_requests: list[AdviceRequest] = field(default_factory=list)


@dataclass(slots=True)
class Tick:
    """State of one planning run.

    `due` are the steps that waited at its start, in the order of their rank.
    """

    plan: Plan
    now_ms: int
    wall_ms: int
    accepting: list[Target]
    due: list[tuple[JobRun, StepRun]] = field(default_factory=list)
    reserved_until_ms: dict[TargetId, int] = field(default_factory=dict)
    by_requirement: dict[tuple[ServiceName, str], list[Target]] = field(
        default_factory=dict,
    )

    def may_use(self, target: Target, step: StepRun) -> bool:
        """Returns whether a step may use a target despite reservations.

        A gang may not: if it runs longer than expected, it delays the other
        gang on many targets at once.
        """
        until_ms = self.reserved_until_ms.get(target.entry.target_id)
        if until_ms is None:
            return True
        end_ms = self.now_ms + step.spec.expected_run_ms
        return not step.spec.is_gang and end_ms <= until_ms

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
    """Tracks the waiting steps and places their tasks.

    `count_queued_requests` returns how many advice requests wait for a host.
    `last_tick` is the state after the latest plan.
    """

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
        self._reservations = GangReservations(settings)
        self.last_tick = Tick(Plan(), 0, 0, [])
        self.ranking: StepRanking = rank_step
        self.count_queued_requests: Callable[[], int] = int

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
                self._reservations.remove(step.key)
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
        due = [
            pair
            for pair in self._waiting.values()
            if pair[1].due_at_ms <= wall_ms
        ]
        due.sort(key=lambda pair: self.ranking(pair[0], pair[1], wall_ms))
        tick = Tick(Plan(), now_ms, wall_ms, accepting, due)
        for job, step in due:
            if len(tick.plan.placements) >= self._settings.max_placed_count:
                break
            self._plan_step(tick, job, step)
        self.last_tick = tick
        return tick.plan

    def _plan_step(self, tick: Tick, job: JobRun, step: StepRun) -> None:
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
            and tick.may_use(target, step)
        ]
        placements = self._place(tick, job, step, fitting)
        self._allocate(tick, job, step, placements)
        if len(placements) == waiting_count:
            self._waiting.pop(step.key, None)
            self._reservations.remove(step.key)
        elif step.spec.is_gang:
            self._reserve_targets(tick, job, step, allowed)
        else:
            self._request_advice(tick, job, step, fitting)

    def _place(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        fitting: list[Target],
    ) -> list[Placement]:
        if job.terms.advice is not None:
            has_ticket = self._ticket_filter(tick, step)
            fitting = [target for target in fitting if has_ticket(target)]
        if not fitting:
            return []
        unreserved = [
            target
            for target in fitting
            if target.entry.target_id not in self.last_tick.reserved_until_ms
        ]
        if not step.spec.is_gang and len(unreserved) < len(fitting):
            placements = place_step(step, unreserved)
            if len(placements) == len(step.waiting_tasks()):
                return placements
        return place_step(step, fitting)

    def _ticket_filter(
        self,
        tick: Tick,
        step: StepRun,
    ) -> Callable[[Target], bool]:
        expires_after_ms = tick.now_ms + self._settings.min_ticket_ms
        return valid_ticket_filter(
            self._tickets.advice_for(step.key), expires_after_ms
        )

    def _allocate(
        self,
        tick: Tick,
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
                task.key,
                task.attempt,
                step.spec.allocated_amounts,
                tick.now_ms + step.spec.expected_run_ms,
            )
            tick.plan.placements.append((job, placement))

    def _request_advice(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        fitting: list[Target],
    ) -> None:
        terms = job.terms.advice
        if terms is None:
            return
        advice = self._tickets.advice_for(step.key)
        if advice.open_requests_count or tick.now_ms < advice.retry_at_ms:
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
                and tick.may_use(target, step)
            ],
            self._settings,
        )
        if ids:
            self._send_request(tick, build_request(job, step, terms, ids))

    def _reserve_targets(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        allowed: list[Target],
    ) -> None:
        """Reserves targets for a gang and requests the advice it needs."""
        self._request_gang_advice(tick, job, step)
        reservation = self._reservations.choose(
            step,
            {
                target.entry.target_id: target
                for target in allowed
                if target.entry.target_id not in tick.reserved_until_ms
            },
            tick.now_ms,
        )
        if reservation is None:
            return
        limit = int(len(self._targets) * self._settings.reserved_share)
        reserved_count = len(reservation.target_ids)
        if len(tick.reserved_until_ms) + reserved_count <= limit:
            for target_id in reservation.target_ids:
                tick.reserved_until_ms[target_id] = reservation.starts_at_ms
            self._renew_tickets(tick, job, step, reservation)
        elif reservation.starts_at_ms <= tick.now_ms and self._is_advice_idle:
            # Others may take the room of a gang that may not reserve it.
            self._renew_tickets(tick, job, step, reservation)

    def _request_gang_advice(
        self, tick: Tick, job: JobRun, step: StepRun
    ) -> None:
        """Requests advice on targets that no request has named so far."""
        terms = job.terms.advice
        if terms is None:
            return
        advice = self._tickets.advice_for(step.key)
        if advice.open_requests_count or tick.now_ms < advice.retry_at_ms:
            return
        not_requested = [
            target
            for target in tick.suitable_targets(job, step)
            if target.entry.target_id not in advice.requested
        ]
        requests = choose_gang_advice_targets(
            step,
            terms,
            not_requested,
            self._tickets.allowed_share(job.terms.queue),
            self._settings,
        )
        # If requests already wait, more of them would delay other steps.
        max_count = self._settings.max_open_count if self._is_advice_idle else 1
        for ids in islice(requests, max_count):
            self._send_request(tick, build_request(job, step, terms, ids))

    def _renew_tickets(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        reservation: Reservation,
    ) -> None:
        """Requests tickets for a gang that can probably start soon.

        It needs valid tickets for all its targets at the same time, so that
        those are renewed that would expire before others could arrive.
        """
        terms = job.terms.advice
        advice = self._tickets.advice_for(step.key)
        is_open = advice.open_requests_count >= self._settings.max_open_count
        if terms is None or is_open or tick.now_ms < advice.retry_at_ms:
            return
        target_ids = reservation.target_ids
        answered_at_ms = tick.now_ms + int(
            request_duration_ms(terms, len(target_ids))
        )
        # If requests already wait, only gangs that have room may add to them.
        ready_by_ms = answered_at_ms if self._is_advice_idle else tick.now_ms
        if reservation.starts_at_ms > ready_by_ms:
            return
        expiring = advice.list_expiring(
            target_ids, answered_at_ms + self._settings.min_ticket_ms
        )
        if expiring:
            ids = tuple(expiring[: self._settings.max_asked_count])
            self._send_request(tick, build_request(job, step, terms, ids))

    @property
    def _is_advice_idle(self) -> bool:
        return not self.count_queued_requests()

    def _send_request(self, tick: Tick, request: AdviceRequest) -> None:
        self._tickets.start_request(request)
        tick.plan.advice_requests.append(request)


__all__ = ('Plan', 'Planner', 'Tick')
