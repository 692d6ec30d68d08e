"""Explains why waiting steps are not placed."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from radishlift.steps.ids import StepKey
from radishlift.steps.planner import Planner
from radishlift.steps.runs import JobRun, StepRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import Target
from radishlift.steps.tickets import TicketTable, valid_ticket_filter
from radishlift.steps.ticks import Tick


@unique
class WaitReason(Enum):
    """The first condition that keeps a step from being placed.

    A step that is `not_placed` meets all conditions for one task: the gang
    does not fit as a whole, or the tick has reached its limit before.
    """

    gang_incomplete = 'gang_incomplete'
    workspace_limit = 'workspace_limit'
    workspace_share = 'workspace_share'
    no_target = 'no_target'
    no_advice = 'no_advice'
    no_room = 'no_room'
    reserved = 'reserved'
    no_ticket = 'no_ticket'
    not_placed = 'not_placed'


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step that has waited since it was due, and the targets it could use.

    - `suitable_count`: targets that accept tasks and have the step's label.
    - `fitting_count`: those of them that are allowed and have room for a task.
    - `waited_ms`: since all of its tasks last had a target, or since the leader
      first saw it.
    - `open_requests_count`: advice requests without an answer;
      `request_age_ms`: how long the first of them has been open.
    - `suspects_count`: waiting tasks that may have crashed a target.
    - `workspace_used_percent`, `workspace_held_percent`: how much of its limit
      the workspace uses, and how much of it is held for waiting steps.
    """

    key: StepKey
    overdue_ms: int
    waited_ms: int
    reason: WaitReason
    suitable_count: int
    fitting_count: int
    open_requests_count: int
    request_age_ms: int
    suspects_count: int
    workspace_used_percent: int
    workspace_held_percent: int


class WaitExplainer:
    """Explains the waits of steps after a planning run."""

    def __init__(
        self, planner: Planner, tickets: TicketTable, settings: StepSettings
    ) -> None:
        self._planner = planner
        self._tickets = tickets
        self._settings = settings
        self._explained_at_ms: dict[StepKey, int] = {}

    def explain(self) -> list[WaitingStep]:
        """Explains why steps have waited since they were due.

        These are the steps that have waited longest, and others that were not
        explained for `explain_again_ms`. Steps that have waited less than
        `explain_after_ms` are omitted.
        """
        tick = self._planner.last_tick
        due_before_ms = tick.wall_ms - self._settings.explain_after_ms
        overdue = [
            (job, step)
            for job, step in tick.due
            if step.due_at_ms <= due_before_ms
            and self._planner.is_waiting(step.key)
        ]
        overdue.sort(key=lambda pair: pair[1].due_at_ms)
        return [
            self._explain_step(tick, job, step)
            for job, step in self._select(overdue, tick.now_ms)
        ]

    def _select(
        self, overdue: list[tuple[JobRun, StepRun]], now_ms: int
    ) -> list[tuple[JobRun, StepRun]]:
        settings = self._settings
        explained = self._explained_at_ms
        first_count = settings.max_explained_count
        again_before_ms = now_ms - settings.explain_again_ms
        others = [
            pair
            for pair in overdue[first_count:]
            if explained.get(pair[1].key, again_before_ms) <= again_before_ms
        ]
        selected = overdue[:first_count] + others[: settings.max_repeated_count]
        self._explained_at_ms = {
            step.key: explained[step.key]
            for _, step in overdue
            if step.key in explained
        }
        self._explained_at_ms.update((step.key, now_ms) for _, step in selected)
        return selected

    def _explain_step(
        self, tick: Tick, job: JobRun, step: StepRun
    ) -> WaitingStep:
        advice = self._tickets.advice_for(step.key)
        limits = self._planner.limits
        suitable = tick.suitable_targets(job, step)
        allowed = suitable
        has_ticket: Callable[[Target], bool] = _accept_all
        if job.terms.advice is not None:
            allowed = [
                target
                for target in suitable
                if target.entry.target_id in advice.allowed
            ]
            has_ticket = valid_ticket_filter(
                advice, tick.now_ms + self._settings.min_ticket_ms
            )
        fitting = [
            target
            for target in allowed
            if step.spec.allocated_amounts.fits_in(target.free_capacity)
        ]
        usable = [target for target in fitting if tick.may_use(target, step)]
        missing = (
            (WaitReason.gang_incomplete, _is_incomplete_gang(step)),
            (WaitReason.workspace_limit, step.key in tick.limited),
            (WaitReason.no_target, not suitable),
            (WaitReason.no_advice, not allowed),
            (
                WaitReason.workspace_share,
                not fitting and step.key in tick.demoted,
            ),
            (WaitReason.no_room, not fitting),
            (WaitReason.reserved, not usable),
            (WaitReason.no_ticket, not any(map(has_ticket, usable))),
            (WaitReason.not_placed, True),
        )
        return WaitingStep(
            step.key,
            tick.wall_ms - step.due_at_ms,
            self._planner.waits.waited_ms(step.key, tick.wall_ms),
            next(reason for reason, is_missing in missing if is_missing),
            len(suitable),
            len(usable),
            advice.open_requests_count,
            tick.now_ms - advice.open_since_ms
            if advice.open_requests_count
            else 0,
            len(step.suspects()),
            *limits.use_percents(job.workspace),
        )


def _is_incomplete_gang(step: StepRun) -> bool:
    waiting_count = len(step.waiting_tasks())
    return step.spec.is_gang and waiting_count < len(step.tasks)


def _accept_all(_: Target) -> bool:
    return True


__all__ = ('WaitExplainer', 'WaitReason', 'WaitingStep')
