"""Chooses targets for the tasks of one step.

Single tasks go to the target with the least room that fits, so that wide
gaps stay for gangs; a gang is placed as a whole or not at all.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from radishlift.steps.ids import TargetId
from radishlift.steps.runs import StepRun, TaskRun, TaskState
from radishlift.steps.spec import Amounts
from radishlift.steps.targets import Target


@dataclass(frozen=True, slots=True)
class Placement:
    """A task and the target that it is to start on."""

    task: TaskRun
    target: Target


Rank = Callable[[Target, Amounts], tuple[int, ...]]


class _Rooms:
    """Free room while the tasks of one step are being placed."""

    def __init__(self, step: StepRun, targets: Iterable[Target]) -> None:
        self._amounts = step.spec.booked
        self._limit = step.spec.max_per_target_count
        self._by_id: dict[TargetId, tuple[Target, Amounts]] = {}
        for target in targets:
            if self._amounts.fits_in(target.room):
                self._by_id[target.entry.target_id] = target, target.room
        self._counts: dict[TargetId, int] = {}
        if self._limit:
            self._count_placed(step)

    def take(self, rank: Rank) -> Target | None:
        """Takes room for one task on the best target."""
        if not self._by_id:
            return None
        target, room = min(
            self._by_id.values(),
            key=lambda pair: rank(*pair),
        )
        target_id = target.entry.target_id
        room = room.plus(self._amounts, -1)
        if self._amounts.fits_in(room):
            self._by_id[target_id] = target, room
        else:
            del self._by_id[target_id]
        self._note(target_id)
        return target

    def _count_placed(self, step: StepRun) -> None:
        for task in step.tasks:
            if task.state is TaskState.placed:
                self._note(task.target_id)

    def _note(self, target_id: TargetId) -> None:
        count = self._counts.get(target_id, 0) + 1
        self._counts[target_id] = count
        if self._limit and count >= self._limit:
            self._by_id.pop(target_id, None)


def place_step(step: StepRun, targets: Iterable[Target]) -> list[Placement]:
    """Places waiting tasks of a step on allowed targets.

    Returns no placement for a gang of which not all members fit at once.
    """
    waiting = step.waiting()
    if step.spec.is_gang and len(waiting) != len(step.tasks):
        return []
    if step.spec.is_gang and step.spec.same_rack:
        return _place_in_one_rack(step, waiting, list(targets))
    return _place(step, waiting, targets)


def _place(
    step: StepRun,
    waiting: list[TaskRun],
    targets: Iterable[Target],
) -> list[Placement]:
    rooms = _Rooms(step, targets)
    data_rack = step.spec.data_rack

    def rank(target: Target, room: Amounts) -> tuple[int, ...]:
        is_far = bool(data_rack) and data_rack not in target.entry.labels
        return is_far, room.cpu_millicores, room.memory_mb

    placements = []
    for task in waiting:
        target = rooms.take(rank)
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
) -> list[Placement]:
    racks = {label for target in targets for label in target.entry.labels}
    for rack in sorted(racks):
        members = [one for one in targets if rack in one.entry.labels]
        placements = _place(step, waiting, members)
        if placements:
            return placements
    return _place(step, waiting, targets)


__all__ = ('Placement', 'place_step')
