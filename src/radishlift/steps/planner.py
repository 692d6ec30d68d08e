"""Plans which waiting tasks start on which targets.

Each tick handles the steps of all queues in the order of `steps.delay_costs`.
A gang that does not fit yet reserves some targets, so that a stream of
smaller tasks can't starve it. Steps that are ranked later use reserved targets
only for tasks that probably end before the gang starts, and steps that are
ranked earlier only if no other targets fit.
"""

from collections import deque
from collections.abc import Callable, Iterator

from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.delay_costs import DelayCosts
from radishlift.steps.gang_reservations import (
    GangReservations,
    reserve_placements,
)
from radishlift.steps.ids import StepKey, TargetId
from radishlift.steps.limit_claims import LimitClaims
from radishlift.steps.limits import WorkspaceLimits
from radishlift.steps.placing import Placement, place_step, place_tasks
from radishlift.steps.ranking import StepRanking
from radishlift.steps.runs import JobRun, StepRun, TaskRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.shares import WorkspaceShares
from radishlift.steps.spec import Amounts
from radishlift.steps.speed_preference import SpeedPreferences
from radishlift.steps.speeds import SpeedTable
from radishlift.steps.step_advice import StepAdviceRequests
from radishlift.steps.step_waits import StepWaits
from radishlift.steps.targets import Target, TargetTable
from radishlift.steps.tickets import TicketTable
from radishlift.steps.ticks import Plan, Tick, allocate_starts
from radishlift.steps.trial_planning import TrialPlanner


class Planner:
    """Tracks the waiting steps and places their tasks.

    `count_queued_requests` returns how many advice requests wait for a host.
    `last_tick` is the state after the latest plan, `limits` are those of the
    workspaces, `waits` since when steps wait, and `speeds` the learned speeds
    of the targets.
    """

    def __init__(
        self,
        targets: TargetTable,
        tickets: TicketTable,
        settings: StepSettings,
    ) -> None:
        self._targets = targets
        self.limits = WorkspaceLimits(targets.workspace_use)
        self.shares = WorkspaceShares(self.limits)
        self._claims = LimitClaims(self.limits, targets, tickets, settings)
        self._tickets = tickets
        self._settings = settings
        self._waiting: dict[StepKey, tuple[JobRun, StepRun]] = {}
        self._reservations = GangReservations(settings)
        self.last_tick = Tick(Plan(), 0, 0, [])
        self._suspects: set[StepKey] = set()
        self.ranking: StepRanking | None = None
        self.waits = StepWaits()
        self._delay_costs = DelayCosts(settings)
        self.use_speeds(SpeedTable())
        self.count_queued_requests: Callable[[], int] = int
        self._advice = StepAdviceRequests(
            tickets, settings, self._count_queued_requests
        )
        self._trials = TrialPlanner(
            targets, self._advice, self.limits, self._claims, settings
        )

    def use_speeds(self, speeds: SpeedTable) -> None:
        """Places by the given speeds of the targets."""
        self.speeds = speeds
        self.preferences = SpeedPreferences(speeds, self._settings)

    def update_job(self, job: JobRun) -> None:
        """Updates which steps of a job wait for targets."""
        self.shares.rates.add(job)
        for step in job.steps.values():
            is_waiting = (
                not job.is_ended
                and step.is_unblocked
                and bool(step.waiting_tasks())
            )
            self._suspects.discard(step.key)
            if is_waiting:
                self._waiting[step.key] = job, step
                if step.suspects():
                    self._suspects.add(step.key)
            else:
                self._waiting.pop(step.key, None)
                self._forget_wait(step.key)
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

    def plan(self, now_ms: int, wall_ms: int) -> Plan:
        """Plans all waiting steps that are due.

        `now_ms` is monotonic and `wall_ms` is Unix time.
        """
        deque(self.plan_in_slices(now_ms, wall_ms), maxlen=0)
        return self.last_tick.plan

    def plan_in_slices(self, now_ms: int, wall_ms: int) -> Iterator[Tick]:
        """Plans like `plan`, and yields the tick after each step.

        Jobs and targets may change meanwhile if the tick is resumed then.
        """
        accepting = [
            target for target in self._targets if target.accepts(now_ms)
        ]
        due = [
            pair
            for pair in self._waiting.values()
            if pair[1].due_at_ms <= wall_ms
        ]
        self._sort(due, accepting, wall_ms)
        ordered = self.shares.order(due, accepting)
        due = ordered.due
        self.waits.observe(due, wall_ms)
        tick = Tick(Plan(), now_ms, wall_ms, accepting, due)
        tick.demoted = ordered.demoted
        self.limits.begin_tick(now_ms)
        self.preferences.refresh(self._targets, now_ms)
        tick.preference_of = self.preferences.for_step
        tick.speed_ratio = self.preferences.ratio
        suspects = [pair for pair in due if pair[1].key in self._suspects]
        for _ in self._trials.plan(tick, suspects):
            yield tick
        for job, step in due:
            if len(tick.plan.placements) >= self._settings.max_placed_count:
                break
            if self.is_waiting(step.key):
                self._plan_step(tick, job, step)
            yield tick
        self.last_tick = tick
        self._tickets.record_starts(
            (placement.task.key.step_key, placement.task.target_id)
            for job, placement in tick.plan.placements
            if job.terms.advice is not None
        )

    def update_request(self, request: AdviceRequest) -> AdviceRequest | None:
        """Chooses the targets of a planned request again before it is sent.

        Returns None if the step does not wait or no targets remain.
        """
        tick = self.last_tick
        pair = self._waiting.get(request.key)
        if pair is None:
            # The step may wait again later and then needs a new request.
            self._tickets.withdraw_request(request)
            return None
        return self._advice.update(tick, pair[0], request, self._find_accepting)

    def _sort(
        self,
        due: list[tuple[JobRun, StepRun]],
        accepting: list[Target],
        wall_ms: int,
    ) -> None:
        ranking = self.ranking
        if ranking is None:
            self._delay_costs.observe_room(accepting)
            self._delay_costs.sort(due, wall_ms)
            return
        due.sort(key=lambda pair: ranking(pair[0], pair[1], wall_ms))

    def _find_accepting(self, target_id: TargetId) -> Target | None:
        target = self._targets.get(target_id)
        if target is None or not target.accepts(self.last_tick.now_ms):
            return None
        return target

    def _count_queued_requests(self) -> int:
        return self.count_queued_requests()

    def _plan_step(self, tick: Tick, job: JobRun, step: StepRun) -> None:
        waiting = step.ordinary_tasks()
        if not waiting:
            return
        if step.spec.is_gang and len(waiting) < len(step.tasks):
            return
        count = self.limits.count_startable(job, step, len(waiting))
        if not count:
            tick.limited.add(step.key)
            self._claims.hold_until_room(tick, job, step)
            return
        allowed = self._advice.list_allowed(tick, job, step)
        amounts = step.spec.allocated_amounts
        # During a backlog this list is empty for most steps.
        fitting = [
            target
            for target in allowed
            if amounts.fits_in(target.free_capacity)
            and tick.may_use(target, step)
        ]
        placements = self._place(tick, job, step, fitting, waiting[:count])
        allocate_starts(tick, job, step, placements)
        missing_count = count - len(placements)
        if len(placements) == len(waiting):
            self._remove_placed(step)
        elif step.spec.is_gang:
            self._reserve_targets(tick, job, step, allowed, fitting)
        elif (
            missing_count
            and job.terms.advice is not None
            and self._claims.may_request(tick, job, step, missing_count)
        ):
            self._advice.request(tick, job, step, fitting)

    def _remove_placed(self, step: StepRun) -> None:
        self._reservations.remove(step.key)
        if not step.waiting_tasks():
            self._waiting.pop(step.key, None)
            self._forget_wait(step.key)

    def _forget_wait(self, key: StepKey) -> None:
        self._reservations.remove(key)
        self._delay_costs.forget(key)
        self.waits.forget(key)
        self._claims.forget(key)
        self._trials.trial_claims.forget(key)

    def _place(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        fitting: list[Target],
        waiting: list[TaskRun],
    ) -> list[Placement]:
        has_ticket = self._advice.ticket_filter(tick, job, step)
        fitting = [target for target in fitting if has_ticket(target)]
        if not fitting:
            return []

        def capacity_of(target: Target) -> Amounts:
            return tick.usable_capacity(target, step)

        preference = tick.preference(job, step)
        unreserved = [
            target
            for target in fitting
            if target.entry.target_id not in self.last_tick.reserved_until_ms
        ]
        if not step.spec.is_gang and len(unreserved) < len(fitting):
            placements = place_tasks(
                step, waiting, unreserved, capacity_of, preference
            )
            if len(placements) == len(waiting):
                return placements
        return place_tasks(step, waiting, fitting, capacity_of, preference)

    def _reserve_targets(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        allowed: list[Target],
        fitting: list[Target],
    ) -> None:
        """Reserves targets for a gang and requests the advice it needs."""
        self._advice.request_for_gang(tick, job, step)
        reservation = self._reservations.choose(
            step,
            {
                target.entry.target_id: target
                for target in allowed
                if target.entry.target_id not in tick.reserved_until_ms
            },
            tick.now_ms,
        )
        limit = int(len(self._targets) * self._settings.reserved_share)
        if reservation is not None and (
            len(tick.reserved_until_ms) + len(reservation.target_ids) <= limit
        ):
            tick.reserve(step, reservation)
            self._claims.hold(tick, job, step, reservation.starts_at_ms)
            self._advice.renew(tick, job, step, reservation, allowed)
            return
        # It may reserve no room, but start in room that is free now.
        placements = place_step(
            step,
            fitting,
            lambda target: tick.unclaimed_capacity(target, step),
            tick.preference(job, step),
        )
        if placements:
            free_room = reserve_placements(placements, tick.now_ms)
            tick.claim(step, free_room)
            self._claims.hold(tick, job, step, tick.now_ms)
            self._advice.renew(tick, job, step, free_room, allowed)


__all__ = ('Planner',)
