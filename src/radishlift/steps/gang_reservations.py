"""Targets reserved for gangs that wait for capacity.

All members of a gang start at the same time, so that the capacity that ends of
tasks release has to be kept free until it is enough. Under a load of small
tasks a gang would otherwise never start.
"""

from collections import Counter
from dataclasses import dataclass

from radishlift.steps.ids import StepKey, TargetId
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
    slots = sorted(
        (slot_at_ms, -target.free_capacity.cpu_millicores, target_id)
        for target_id, target in candidates.items()
        for slot_at_ms in slot_times_ms(target, amounts, now_ms)
    )
    needed = slots[: len(step.tasks)]
    if len(needed) < len(step.tasks):
        return None
    counts = Counter(slot[-1] for slot in needed)
    return Reservation(tuple(counts), tuple(counts.values()), needed[-1][0])


def slot_times_ms(target: Target, amounts: Amounts, now_ms: int) -> list[int]:
    """Lists when a target probably has room for one, two and more tasks."""
    max_count = amounts.count_fitting(target.entry.capacity)
    free_capacity = target.free_capacity
    free_count = min(max_count, amounts.count_fitting(free_capacity))
    times_ms = [now_ms for _ in range(free_count)]
    for end_ms, released in sorted(
        (allocation.expected_end_ms, allocation.amounts)
        for allocation in target.allocations.values()
    ):
        free_capacity = free_capacity.plus(released)
        fitting_count = min(max_count, amounts.count_fitting(free_capacity))
        # A task that runs longer than expected may end at any time from now.
        times_ms.extend(
            max(now_ms + 1, end_ms) for _ in range(len(times_ms), fitting_count)
        )
    return times_ms


__all__ = (
    'GangReservations',
    'Reservation',
    'choose_gang_targets',
    'slot_times_ms',
)
