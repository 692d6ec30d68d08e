"""Room of targets for the suspects of one step."""

from radishlift.steps.gang_reservations import slot_times_ms
from radishlift.steps.runs import StepRun, TaskState
from radishlift.steps.targets import Target


def has_room(step: StepRun, target: Target) -> bool:
    """Returns whether a task of a step fits on a target now."""
    return step.spec.allocated_amounts.fits_in(
        target.free_capacity
    ) and _is_below_limit(step, target)


def slots_ms(step: StepRun, target: Target, now_ms: int) -> list[int]:
    """Lists when a target probably has room for one, two and more tasks."""
    if not _is_below_limit(step, target):
        return []
    return slot_times_ms(target, step.spec.allocated_amounts, now_ms)


def _is_below_limit(step: StepRun, target: Target) -> bool:
    limit = step.spec.max_per_target_count
    if not limit:
        return True
    placed_count = sum(
        task.state is TaskState.placed
        and task.target_id == target.entry.target_id
        for task in step.tasks
    )
    return placed_count < limit


__all__ = ('has_room', 'slots_ms')
