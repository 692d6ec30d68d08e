"""Plans the trials of suspects, before other tasks are placed."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from radishlift.steps.gang_reservations import (
    Reservation,
    choose_gang_targets,
)
from radishlift.steps.ids import TargetId
from radishlift.steps.limit_claims import LimitClaims
from radishlift.steps.limits import WorkspaceLimits
from radishlift.steps.placing import Placement, place_tasks
from radishlift.steps.runs import JobRun, StepRun, TaskRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.step_advice import StepAdviceRequests
from radishlift.steps.targets import Target, TargetTable
from radishlift.steps.ticks import Tick, allocate_starts
from radishlift.steps.trial_claims import TrialClaims
from radishlift.steps.trial_room import first_slot_ms, has_room
from radishlift.steps.trials import Trials


@dataclass(frozen=True, slots=True)
class _Candidates:
    """The targets that may run a step."""

    allowed: list[Target]
    has_ticket: Callable[[Target], bool]


class TrialPlanner:
    """Places suspects on targets of their own.

    Trials use at most `trial_share` of the targets. Suspects for which some
    target has room come before those that wait for room. A gang that needs
    more targets waits until no other trials run, unless it may reserve them
    like other gangs.

    Steps keep targets, and gangs stop other trials, only if they will probably
    start soon, and for `max_claim_ms` at a time.
    """

    def __init__(
        self,
        targets: TargetTable,
        advice: StepAdviceRequests,
        limits: WorkspaceLimits,
        claims: LimitClaims,
        settings: StepSettings,
    ) -> None:
        self._advice = advice
        self._limits = limits
        self._claims = claims
        self._trials = Trials(targets, settings)
        self.trial_claims = TrialClaims(self._trials, settings)

    def plan(
        self, tick: Tick, suspects: list[tuple[JobRun, StepRun]]
    ) -> Iterator[None]:
        """Plans steps with suspects, and closes targets to other steps.

        Yields after each step.
        """
        tick.plan.cleared.extend(self._trials.begin())
        without_room: list[tuple[JobRun, StepRun]] = []
        for job, step in suspects:
            if not self._plan_step(tick, job, step, without_room):
                break
            yield
        for job, step in without_room:
            self._reserve_room(tick, job, step)
            yield
        self._trials.finish()
        closed = self._trials.closed
        if closed:
            tick.exclude(closed)

    def _plan_step(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        without_room: list[tuple[JobRun, StepRun]],
    ) -> bool:
        """Plans the trials of a step; returns whether others may follow.

        Adds it to `without_room` if no target has room for it.
        """
        if self._trials.is_full:
            return False
        if job.is_ended:
            return True
        if step.spec.is_gang:
            return self._plan_gang(tick, job, step)
        if self._plan_tasks(tick, job, step):
            without_room.append((job, step))
        return True

    def _candidates(
        self, tick: Tick, job: JobRun, step: StepRun
    ) -> _Candidates:
        return _Candidates(
            self._advice.list_allowed(tick, job, step),
            self._advice.ticket_filter(tick, job, step),
        )

    def _plan_tasks(self, tick: Tick, job: JobRun, step: StepRun) -> bool:
        """Plans trials of tasks; returns whether they need more room."""
        suspects = self._list_startable(tick, job, step)
        if not suspects:
            return False
        candidates = self._candidates(tick, job, step)
        candidates = replace(
            candidates,
            allowed=[
                target
                for target in candidates.allowed
                if tick.is_open(target, step)
            ],
        )
        without_ticket: list[TargetId] = []
        is_short_of_room = False
        for task in suspects:
            target = self._find_target(step, task, candidates, without_ticket)
            if target is None:
                is_short_of_room = True
                break
            has_ticket = candidates.has_ticket(target)
            if has_ticket and self._is_open(target):
                self._start(tick, job, step, [Placement(task, target)])
            elif has_ticket:
                self._trials.reserve([target])
            else:
                without_ticket.append(target.entry.target_id)
                self.trial_claims.reserve(tick, step, [target], tick.now_ms)
        may_fit = any(has_room(step, target) for target in candidates.allowed)
        if without_ticket or not may_fit:
            self._advice.request_for_trial(tick, job, step, without_ticket)
        return is_short_of_room

    def _list_startable(
        self, tick: Tick, job: JobRun, step: StepRun
    ) -> list[TaskRun]:
        """Lists the suspects that the limit of the workspace allows."""
        suspects = step.suspects()
        count = self._limits.count_startable(job, step, len(suspects))
        if count < len(suspects):
            tick.limited.add(step.key)
        if not count:
            self._claims.hold_until_room(tick, job, step)
        return suspects[:count]

    def _is_open(self, target: Target) -> bool:
        is_running = target.entry.target_id in self._trials.closed
        return is_running or self._trials.is_ready(target)

    def _find_target(
        self,
        step: StepRun,
        task: TaskRun,
        candidates: _Candidates,
        without_ticket: list[TargetId],
    ) -> Target | None:
        trials = self._trials
        fitting = [
            target for target in candidates.allowed if has_room(step, target)
        ]
        shared = trials.find_shared(
            task, filter(candidates.has_ticket, fitting)
        )
        if shared is not None or trials.free_count <= 0:
            return shared
        closed = trials.closed.union(without_ticket)
        return min(
            (
                target
                for target in fitting
                if target.entry.target_id not in closed
            ),
            key=lambda target: (
                not candidates.has_ticket(target),
                # It may crash again, which would be attributed to the trial.
                target.has_restarted,
                not trials.is_ready(target),
                not trials.is_last_reserved(target),
                target.used.cpu_millicores,
            ),
            default=None,
        )

    def _reserve_room(self, tick: Tick, job: JobRun, step: StepRun) -> None:
        """Reserves the target that probably has room for a suspect first."""
        if self._trials.free_count <= 0:
            return
        closed = self._trials.closed
        slots = [
            (slot_ms, target.entry.target_id, target)
            for target in self._advice.list_allowed(tick, job, step)
            if target.entry.target_id not in closed
            and tick.is_open(target, step)
            and (slot_ms := first_slot_ms(step, target, tick.now_ms))
            is not None
        ]
        if slots:
            starts_at_ms, _, target = min(slots)
            self.trial_claims.reserve(tick, step, [target], starts_at_ms)

    def _plan_gang(self, tick: Tick, job: JobRun, step: StepRun) -> bool:
        """Plans the trial of a gang.

        Returns False if it starts once other trials free targets; no more
        trials may begin then, as they would starve it.
        """
        waiting = step.waiting_tasks()
        if len(waiting) < len(step.tasks):
            return True
        if not self._list_startable(tick, job, step):
            return True
        candidates = self._candidates(tick, job, step)
        free = self._free_for_gang(tick, candidates)
        ready = [
            target
            for target in free.values()
            if candidates.has_ticket(target) and self._trials.is_ready(target)
        ]
        reservation = choose_gang_targets(step, free, tick.now_ms)
        is_wide = self._is_wide(tick, step, candidates, reservation)
        if is_wide and not self._trials.is_idle:
            return not self._prepare_wide_gang(tick, job, step, candidates)
        placements = place_tasks(step, waiting, ready)
        if placements:
            self._start(tick, job, step, placements)
            return True
        self._advice.request_for_gang(tick, job, step)
        if reservation is not None:
            self._advice.renew(tick, job, step, reservation, candidates.allowed)
            if reservation.starts_at_ms <= tick.now_ms:
                chosen = [free[found] for found in reservation.target_ids]
                if all(map(candidates.has_ticket, chosen)):
                    self._trials.reserve(chosen)
                else:
                    self.trial_claims.reserve(tick, step, chosen, tick.now_ms)
            elif not is_wide:
                # Tasks that end before the gang starts may use them until then.
                tick.reserve(step, reservation)
        return True

    def _prepare_wide_gang(
        self, tick: Tick, job: JobRun, step: StepRun, candidates: _Candidates
    ) -> bool:
        """Requests advice for a gang that waits for other trials.

        Returns whether it has tickets to start soon after these have ended.
        """
        self._advice.request_for_gang(tick, job, step)
        open_targets = {
            target.entry.target_id: target
            for target in candidates.allowed
            if target.entry.target_id not in tick.reserved_until_ms
        }
        reservation = choose_gang_targets(step, open_targets, tick.now_ms)
        if reservation is None:
            return False
        self._advice.renew(tick, job, step, reservation, candidates.allowed)
        with_ticket = {
            target_id: target
            for target_id, target in open_targets.items()
            if candidates.has_ticket(target)
        }
        usable = choose_gang_targets(step, with_ticket, tick.now_ms)
        return usable is not None and self.trial_claims.may_claim(
            tick, step, usable.starts_at_ms
        )

    def _free_for_gang(
        self, tick: Tick, candidates: _Candidates
    ) -> dict[TargetId, Target]:
        closed = self._trials.closed | tick.reserved_until_ms.keys()
        return {
            target.entry.target_id: target
            for target in candidates.allowed
            if target.entry.target_id not in closed
        }

    def _is_wide(
        self,
        tick: Tick,
        step: StepRun,
        candidates: _Candidates,
        reservation: Reservation | None,
    ) -> bool:
        """Returns whether a gang needs more targets than trials may use."""
        if reservation is not None:
            reserved_count = len(tick.reserved_until_ms)
            return len(reservation.target_ids) > max(
                self._trials.free_count,
                self._trials.gang_count - reserved_count,
            )
        everywhere = {
            target.entry.target_id: target for target in candidates.allowed
        }
        return choose_gang_targets(step, everywhere, tick.now_ms) is not None

    def _start(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        placements: list[Placement],
    ) -> None:
        allocate_starts(tick, job, step, placements)
        self._trials.record(job, step, placements)


__all__ = ('TrialPlanner',)
