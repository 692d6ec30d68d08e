"""Summarizes a planning run: the load, reservations and use of tickets."""

from dataclasses import dataclass

from radishlift.steps.limits import WorkspaceLimits
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import Amounts
from radishlift.steps.tickets import TicketTable
from radishlift.steps.ticks import Tick


@dataclass(frozen=True, slots=True)
class PlanningState:
    """State after a planning run; shares are those of the accepting targets.

    - `waiting_count`: due steps; `overdue_count` of them have waited longer
      than `explain_after_ms`.
    - `used_cpu_percent`, `used_memory_percent`: allocated capacity.
    - `reserved_count`: targets with room reserved for gangs;
      `reserved_idle_percent` is what of this room is free now, as a share of
      all processors.
    - `granted_count`, `used_count`: tickets that the service has granted in
      this term, and those with which tasks were started.
    - `answers_count`, `used_answers_count`: answers of the service in this
      term, and those after which tasks of their step were started;
      `answers_ms`: how long the service took for all of them.
    - `limited_count`: steps that wait for the limit of their workspace;
      `held_back_count`: those of them that would fit if none of it were held
      for other steps; `demoted_count`: those that come after their rank
      because it has more than its share.
    """

    waiting_count: int
    overdue_count: int
    used_cpu_percent: int
    used_memory_percent: int
    reserved_count: int
    reserved_idle_percent: int
    granted_count: int
    used_count: int
    answers_count: int
    used_answers_count: int
    answers_ms: int
    limited_count: int
    held_back_count: int
    demoted_count: int


def summarize_tick(
    tick: Tick,
    tickets: TicketTable,
    limits: WorkspaceLimits,
    settings: StepSettings,
) -> PlanningState:
    """Summarizes a planning run."""
    due_before_ms = tick.wall_ms - settings.explain_after_ms
    capacity, used, reserved_idle = Amounts(), Amounts(), Amounts()
    for target in tick.accepting:
        capacity = capacity.plus(target.entry.capacity)
        used = used.plus(target.used)
        target_id = target.entry.target_id
        if target_id in tick.reserved_amounts:
            reserved_idle = reserved_idle.plus(
                tick.reserved_amounts[target_id].limited(target.free_capacity)
            )
    return PlanningState(
        len(tick.due),
        sum(step.due_at_ms <= due_before_ms for _, step in tick.due),
        _percent(used.cpu_millicores, capacity.cpu_millicores),
        _percent(used.memory_mb, capacity.memory_mb),
        len(tick.reserved_until_ms),
        _percent(reserved_idle.cpu_millicores, capacity.cpu_millicores),
        tickets.granted_count,
        tickets.used_count,
        tickets.answers_count,
        tickets.used_answers_count,
        int(tickets.answers_ms),
        len(tick.limited),
        sum(
            limits.is_held_back(job, step)
            for job, step in tick.due
            if step.key in tick.limited
        ),
        len(tick.demoted),
    )


def _percent(part: int, whole: int) -> int:
    return 100 * part // max(1, whole)


__all__ = ('PlanningState', 'summarize_tick')
