"""Selects targets for the tasks of one step.

A task goes to the fitting target with the least free capacity (best fit),
which leaves large free blocks for gangs. All members of a gang are placed
together, or none. A step may prefer some targets to others, and a task that
has failed goes elsewhere if it can.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from radishlift.steps.ids import TargetId
from radishlift.steps.runs import StepRun, TaskRun, TaskState
from radishlift.steps.spec import Amounts
from radishlift.steps.targets import Target


@dataclass(frozen=True, slots=True)
class Placement:
    """A task and the target on which it will start."""

    task: TaskRun
    target: Target


CapacityOf = Callable[[Target], Amounts]
"""Returns how much of a target the tasks of a step may use."""

TargetPreference = Callable[[Target], float]
"""Returns how much a step prefers a target: 0 is best."""

_TargetRanking = Callable[[Target, Amounts], tuple[float, ...]]


def no_preference(target: Target) -> float:
    """Prefers no target."""
    return 0


class _FreeCapacity:
    """Free capacity of targets while the tasks of one step are placed."""

    def __init__(
        self,
        step: StepRun,
        targets: Iterable[Target],
        capacity_of: CapacityOf,
    ) -> None:
        self._amounts = step.spec.allocated_amounts
        self._limit = step.spec.max_per_target_count
        self._by_id: dict[TargetId, tuple[Target, Amounts]] = {}
        for target in targets:
            free_capacity = capacity_of(target)
            if self._amounts.fits_in(free_capacity):
                self._by_id[target.entry.target_id] = target, free_capacity
        self._counts: dict[TargetId, int] = {}
        if self._limit:
            self._count_placed(step)

    def allocate(
        self, task: TaskRun, rank_target: _TargetRanking
    ) -> Target | None:
        """Allocates a task on the target of the lowest rank, if any fits.

        It uses the target that failed it last only if no other fits.
        """
        pairs = [
            pair
            for target_id, pair in self._by_id.items()
            if target_id != task.failed_target_id
        ]
        if not self._by_id:
            return None
        target, free_capacity = min(
            pairs or self._by_id.values(),
            key=lambda pair: rank_target(*pair),
        )
        target_id = target.entry.target_id
        free_capacity = free_capacity.plus(self._amounts, -1)
        if self._amounts.fits_in(free_capacity):
            self._by_id[target_id] = target, free_capacity
        else:
            del self._by_id[target_id]
        self._count_task(target_id)
        return target

    def _count_placed(self, step: StepRun) -> None:
        for task in step.tasks:
            if task.state is TaskState.placed:
                self._count_task(task.target_id)

    def _count_task(self, target_id: TargetId) -> None:
        count = self._counts.get(target_id, 0) + 1
        self._counts[target_id] = count
        if self._limit and count >= self._limit:
            self._by_id.pop(target_id, None)


def _free_capacity(target: Target) -> Amounts:
    return target.free_capacity


def place_step(
    step: StepRun,
    targets: Iterable[Target],
    capacity_of: CapacityOf = _free_capacity,
    preference: TargetPreference = no_preference,
) -> list[Placement]:
    """Places the ordinary waiting tasks of a step on allowed targets.

    Returns an empty list for a gang if not all members wait and fit.
    """
    return place_tasks(
        step, step.ordinary_tasks(), targets, capacity_of, preference
    )


def place_tasks(
    step: StepRun,
    waiting: list[TaskRun],
    targets: Iterable[Target],
    capacity_of: CapacityOf = _free_capacity,
    preference: TargetPreference = no_preference,
) -> list[Placement]:
    """Places the given waiting tasks of a step like `place_step`."""
    if step.spec.is_gang and len(waiting) != len(step.tasks):
        return []
    listed = list(targets)
    preferences = {
        target.entry.target_id: preference(target) for target in listed
    }
    if step.spec.is_gang and step.spec.same_rack:
        return _place_in_one_rack(
            step, waiting, listed, capacity_of, preferences
        )
    return _place_on_any_rack(step, waiting, listed, capacity_of, preferences)


def _place_on_any_rack(
    step: StepRun,
    waiting: list[TaskRun],
    targets: Iterable[Target],
    capacity_of: CapacityOf,
    preferences: Mapping[TargetId, float],
) -> list[Placement]:
    capacity = _FreeCapacity(step, targets, capacity_of)
    data_rack = step.spec.data_rack

    def rank_target(
        target: Target, free_capacity: Amounts
    ) -> tuple[float, ...]:
        is_off_rack = bool(data_rack) and data_rack not in target.entry.labels
        return (
            is_off_rack,
            preferences[target.entry.target_id],
            free_capacity.cpu_millicores,
            free_capacity.memory_mb,
        )

    placements = []
    for task in waiting:
        target = capacity.allocate(task, rank_target)
        if target is None:
            break
        placements.append(Placement(task, target))
    if step.spec.is_gang and len(placements) < len(waiting):
        return []
    return placements


def _place_in_one_rack(
    step: StepRun,
    waiting: list[TaskRun],
    targets: list[Target],
    capacity_of: CapacityOf,
    preferences: Mapping[TargetId, float],
) -> list[Placement]:
    racks = {label for target in targets for label in target.entry.labels}
    for rack in sorted(racks):
        members = [target for target in targets if rack in target.entry.labels]
        placements = _place_on_any_rack(
            step, waiting, members, capacity_of, preferences
        )
        if placements:
            return placements
    return _place_on_any_rack(step, waiting, targets, capacity_of, preferences)


__all__ = (
    'CapacityOf',
    'Placement',
    'TargetPreference',
    'no_preference',
    'place_step',
    'place_tasks',
)
