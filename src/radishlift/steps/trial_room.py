"""Room of targets for the suspects of one step."""

from radishlift.steps.gang_reservations import list_slots
from radishlift.steps.runs import StepRun
from radishlift.steps.targets import Target


def has_room(step: StepRun, target: Target) -> bool:
    """Returns whether a task of a step fits on a target now."""
    return step.spec.allocated_amounts.fits_in(
        target.free_capacity
    ) and _is_below_limit(step, target)


def first_slot_ms(step: StepRun, target: Target, now_ms: int) -> int | None:
    """Returns when a target probably has room for a task, if ever."""
    if not _is_below_limit(step, target):
        return None
    slots = list_slots(target, step.spec.allocated_amounts, now_ms, 1)
    return slots[0].at_ms if slots else None


def _is_below_limit(step: StepRun, target: Target) -> bool:
    limit = step.spec.max_per_target_count
    if not limit:
        return True
    # A step may have more tasks than a target.
    placed_count = sum(key.step_key == step.key for key in target.allocations)
    return placed_count < limit


__all__ = ('has_room', 'first_slot_ms')
