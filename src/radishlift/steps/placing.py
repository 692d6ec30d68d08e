"""Selects targets for the tasks of one step.

A task goes to the fitting target with the least free capacity (best fit),
which leaves large free blocks for gangs. All members of a gang are placed
together, or none. A step may prefer some targets to others, and a task that
has failed goes elsewhere if it can.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

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


@dataclass(slots=True, order=True)
class _Candidate:
    """A target with room, by its rank and then its position among others."""

    rank: tuple[float, ...]
    position: int
    target: Target = field(compare=False)
    free_capacity: Amounts = field(compare=False)


class _FreeCapacity:
    """Free capacity of targets while the tasks of one step are placed.

    The candidates are a heap: a task changes the rank of its target only.
    """

    def __init__(
        self,
        step: StepRun,
        targets: Iterable[Target],
        capacity_of: CapacityOf,
        rank_target: _TargetRanking,
    ) -> None:
        self._amounts = step.spec.allocated_amounts
        self._limit = step.spec.max_per_target_count
        self._rank_target = rank_target
        self._counts: Counter[TargetId] = Counter()
        if self._limit:
            self._counts.update(
                task.target_id
                for task in step.tasks
                if task.state is TaskState.placed
            )
        self._candidates = [
            _Candidate(
                rank_target(target, free_capacity),
                position,
                target,
                free_capacity,
            )
            for position, target in enumerate(targets)
            if self._may_use(target, free_capacity := capacity_of(target))
        ]
        heapify(self._candidates)

    def allocate(self, task: TaskRun) -> Target | None:
        """Allocates a task on the target of the lowest rank, if any fits.

        It uses the target that failed it last only if no other fits.
        """
        if not self._candidates:
            return None
        chosen = heappop(self._candidates)
        is_failed = chosen.target.entry.target_id == task.failed_target_id
        if is_failed and self._candidates:
            failed, chosen = chosen, heappop(self._candidates)
            heappush(self._candidates, failed)
        target = chosen.target
        self._counts[target.entry.target_id] += 1
        free_capacity = chosen.free_capacity.plus(self._amounts, -1)
        if self._may_use(target, free_capacity):
            chosen.free_capacity = free_capacity
            chosen.rank = self._rank_target(target, free_capacity)
            heappush(self._candidates, chosen)
        return target

    def _may_use(self, target: Target, free_capacity: Amounts) -> bool:
        if self._limit and self._counts[target.entry.target_id] >= self._limit:
            return False
        return self._amounts.fits_in(free_capacity)


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

    capacity = _FreeCapacity(step, targets, capacity_of, rank_target)
    placements = []
    for task in waiting:
        target = capacity.allocate(task)
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
