"""Plans steps in slices, so that heartbeats and calls go on meanwhile."""

from collections.abc import Callable

from radishlift.cell.settings import CellSettings
from radishlift.core.clock import Clock
from radishlift.core.slices import TimeSlices
from radishlift.steps.placing import Placement
from radishlift.steps.planner import Planner
from radishlift.steps.runs import JobRun
from radishlift.steps.ticks import Plan

StartCallback = Callable[[JobRun, Placement], None]


async def plan_in_slices(
    planner: Planner,
    settings: CellSettings,
    clock: Clock,
    on_start: StartCallback,
) -> Plan:
    """Plans all waiting steps, and passes each planned start to a callback.

    The starts that are planned in a slice are passed on at its end: lists of
    targets that arrive before the next one do not contain them.
    """
    slices = TimeSlices(settings.slice_ms)
    passed_count = 0

    def pass_starts(plan: Plan) -> int:
        for job, placement in plan.placements[passed_count:]:
            on_start(job, placement)
        return len(plan.placements)

    for tick in planner.plan_in_slices(clock.monotonic_ms(), clock.wall_ms()):
        if slices.is_over:
            passed_count = pass_starts(tick.plan)
            await slices.pause()
            tick.resume(clock.monotonic_ms())
    pass_starts(planner.last_tick.plan)
    return planner.last_tick.plan


__all__ = ('plan_in_slices',)
