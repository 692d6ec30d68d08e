"""Targets reserved for gangs that wait for capacity.

All members of a gang start at the same time, so that the capacity that ends of
tasks release has to be kept free until it is enough. Under a load of small
tasks a gang would otherwise never start.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from radishlift.steps.ids import StepKey, TargetId
from radishlift.steps.placing import Placement
from radishlift.steps.runs import StepRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import Amounts
from radishlift.steps.targets import Target


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room reserved for a gang, and when the targets probably have it.

    `member_counts` is the number of members on each of the `target_ids`. Until
    `starts_at_ms` the room can be used by tasks that end before. It is the
    present if all targets have room now.
    """

    target_ids: tuple[TargetId, ...]
    member_counts: tuple[int, ...]
    starts_at_ms: int


class Slots(NamedTuple):
    """A number of tasks for which a target has room from a time on."""

    at_ms: int
    tasks_count: int


class GangReservations:
    """The reserved targets of each waiting gang.

    A reservation is kept for `reservation_ms`, so that its targets become
    empty, and then compared with other targets.
    """

    def __init__(self, settings: StepSettings) -> None:
        self._settings = settings
        self._reservations: dict[StepKey, Reservation] = {}
        self._kept_until_ms: dict[StepKey, int] = {}

    def choose(
        self,
        step: StepRun,
        candidates: dict[TargetId, Target],
        now_ms: int,
    ) -> Reservation | None:
        """Returns the reservation of a gang.

        Returns None if the gang would not fit on all candidates if they were
        empty.
        """
        known = self._reservations.get(step.key)
        if (
            known is not None
            and now_ms < self._kept_until_ms[step.key]
            and all(target_id in candidates for target_id in known.target_ids)
        ):
            return known
        reservation = choose_gang_targets(step, candidates, now_ms)
        if reservation is not None:
            self._reservations[step.key] = reservation
            self._kept_until_ms[step.key] = (
                now_ms + self._settings.reservation_ms
            )
        return reservation

    def remove(self, key: StepKey) -> None:
        """Removes the reservation of a gang that does not wait any more."""
        self._reservations.pop(key, None)
        self._kept_until_ms.pop(key, None)


def choose_gang_targets(
    step: StepRun,
    candidates: dict[TargetId, Target],
    now_ms: int,
) -> Reservation | None:
    """Selects the targets that will probably have room for a gang first.

    Returns None if the gang would not fit on all of them empty.
    """
    amounts = step.spec.allocated_amounts
    missing_count = len(step.tasks)
    limit = step.spec.max_per_target_count or missing_count
    slots = sorted(
        (
            slots.at_ms,
            -target.free_capacity.cpu_millicores,
            target_id,
            slots.tasks_count,
        )
        for target_id, target in candidates.items()
        for slots in list_slots(target, amounts, now_ms, limit)
    )
    counts: Counter[TargetId] = Counter()
    for at_ms, _, target_id, count in slots:
        counts[target_id] += min(count, missing_count)
        missing_count -= count
        if missing_count <= 0:
            return Reservation(tuple(counts), tuple(counts.values()), at_ms)
    return None


def reserve_placements(
    placements: Iterable[Placement], now_ms: int
) -> Reservation:
    """Returns the room of placements that are possible now."""
    counts = Counter(
        placement.target.entry.target_id for placement in placements
    )
    return Reservation(tuple(counts), tuple(counts.values()), now_ms)


def list_slots(
    target: Target, amounts: Amounts, now_ms: int, limit: int
) -> list[Slots]:
    """Lists when a target probably has room for up to `limit` tasks.

    The result grows with the tasks on the target, but not with `limit`.
    """
    max_count = min(limit, amounts.count_fitting(target.entry.capacity))
    free_capacity = target.free_capacity
    listed_count = min(max_count, amounts.count_fitting(free_capacity))
    found = [Slots(now_ms, listed_count)] if listed_count > 0 else []
    if listed_count >= max_count:
        return found
    for end_ms, released in sorted(
        (allocation.expected_end_ms, allocation.amounts)
        for allocation in target.allocations.values()
    ):
        free_capacity = free_capacity.plus(released)
        fitting_count = min(max_count, amounts.count_fitting(free_capacity))
        if fitting_count > max(0, listed_count):
            # A task that runs longer than expected may end at any time.
            at_ms = max(now_ms + 1, end_ms)
            found.append(Slots(at_ms, fitting_count - max(0, listed_count)))
            listed_count = fitting_count
    return found


__all__ = (
    'GangReservations',
    'Reservation',
    'Slots',
    'choose_gang_targets',
    'list_slots',
    'reserve_placements',
)
