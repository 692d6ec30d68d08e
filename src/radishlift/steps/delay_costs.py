"""Order of waiting steps by what their delay costs the callers.

Answers a load that exceeds the room of the targets for a while, such as a
burst of several times the usual rate. A step that needs much less room and
time than the others of its priority delays them little, but would itself be
late behind any of them.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum, unique

from radishlift.steps.ids import StepKey
from radishlift.steps.ranking import chain_estimate_ms, objective_at_ms
from radishlift.steps.runs import JobRun, StepRun, TaskState
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import Amounts, QueueTerms
from radishlift.steps.targets import Target

DueStep = tuple[JobRun, StepRun]


@unique
class Usefulness(IntEnum):
    """What a caller can still gain from a step, most first.

    The answer can be in time; late, but of use; or past use.
    """

    in_time = 0
    late = 1
    past_use = 2


@dataclass(frozen=True, slots=True)
class _StepBounds:
    """Times in Unix milliseconds that follow from a job and its terms.

    A step that starts by `in_time_until_ms` meets its objective, and one that
    starts by `useful_until_ms` is of use.
    """

    terms: QueueTerms
    in_time_until_ms: int
    useful_until_ms: int


class DelayCosts:
    """Sorts due steps so that those whose delay costs least come last.

    Steps are sorted by usefulness, by the priority of their queue, and then by
    when they must start. If the steps up to a priority do not all fit in the
    free room, those of this priority come first whose room times run time is
    below `small_share` of the mean. Steps past use are sorted by age.

    Of the steps that have waited for `max_wait_ms`, the one that has waited
    longest comes before all others, so that nothing waits for ever behind newer
    steps. It is the next one's turn after `first_turn_ms`, as a step may fit
    nowhere.

    The wait is counted from when this object first sorts a step that waits.
    """

    def __init__(self, settings: StepSettings) -> None:
        self._settings = settings
        self._room = Amounts(1, 1, 1)
        self._free_share = float(0)
        self._bounds: dict[StepKey, _StepBounds] = {}
        self._waits_since_ms: dict[StepKey, int] = {}
        self._turn_ends_ms: dict[StepKey, int] = {}

    def observe_room(self, targets: Iterable[Target]) -> None:
        """Sums the capacity and the free capacity of targets."""
        found = list(targets)
        room = _sum_amounts(target.entry.capacity for target in found)
        self._room = Amounts(
            max(1, room.cpu_millicores),
            max(1, room.memory_mb),
            max(1, room.gpus_count),
        )
        free = _sum_amounts(target.free_capacity for target in found)
        self._free_share = min(
            free.cpu_millicores / self._room.cpu_millicores,
            free.memory_mb / self._room.memory_mb,
        )

    def forget(self, key: StepKey) -> None:
        """Drops what is known of a step that waits no longer."""
        for known in (self._bounds, self._waits_since_ms, self._turn_ends_ms):
            known.pop(key, None)

    def sort(self, due: list[DueStep], wall_ms: int) -> None:
        """Sorts due steps in place; `wall_ms` is Unix time."""
        waits_since_ms = self._waits_since_ms
        for _, step in due:
            waits_since_ms.setdefault(step.key, wall_ms)
        first = self._choose_first(due, wall_ms)
        small = self._list_small(due)
        due.sort(
            key=lambda pair: (
                pair[1].key != first,
                self._rank(
                    pair[0], pair[1], wall_ms, is_small=pair[1].key in small
                ),
            )
        )

    def classify(self, job: JobRun, step: StepRun, wall_ms: int) -> Usefulness:
        """Returns what the caller gains if a step starts now.

        A step that runs until it is stopped is of use from any start.
        """
        if step.spec.is_long_running:
            return Usefulness.in_time
        bounds = self._bounds_of(job, step)
        if wall_ms <= bounds.in_time_until_ms:
            return Usefulness.in_time
        if wall_ms <= bounds.useful_until_ms:
            return Usefulness.late
        return Usefulness.past_use

    def room_time(self, step: StepRun) -> float:
        """Returns the share of all room times the run time in milliseconds."""
        # Run times that callers don't estimate are 0.
        return self.room_share(step) * max(1, step.spec.expected_run_ms)

    def room_share(self, step: StepRun) -> float:
        """Returns the share of all room that the waiting tasks need.

        It is that of the scarcest resource.
        """
        waiting_count = sum(
            task.state is TaskState.waiting for task in step.tasks
        )
        amounts = step.spec.allocated_amounts
        return _largest_share(amounts, self._room) * waiting_count

    def _rank(
        self, job: JobRun, step: StepRun, wall_ms: int, *, is_small: bool
    ) -> tuple[int, ...]:
        """Returns the sort key of a step, which does not consider its age."""
        start_ms = self._bounds_of(job, step).in_time_until_ms
        usefulness = self.classify(job, step, wall_ms)
        if usefulness is Usefulness.past_use:
            return usefulness, start_ms
        return usefulness, job.terms.priority, not is_small, start_ms

    def _list_small(self, due: list[DueStep]) -> set[StepKey]:
        """Lists the steps that need little compared with their priority.

        Priorities whose steps all fit in the free room have none.
        """
        by_priority: dict[int, list[StepRun]] = {}
        for job, step in due:
            by_priority.setdefault(job.terms.priority, []).append(step)
        small: set[StepKey] = set()
        needed_share = float(0)
        for _, steps in sorted(by_priority.items()):
            needed_share += sum(map(self.room_share, steps))
            if needed_share > self._free_share:
                small.update(self._select_small(steps))
        return small

    def _select_small(self, steps: list[StepRun]) -> list[StepKey]:
        sizes = [self.room_time(step) for step in steps]
        limit = sum(sizes) / len(sizes) * self._settings.small_share
        return [
            step.key
            for step, size in zip(steps, sizes, strict=True)
            if size < limit
        ]

    def _choose_first(self, due: list[DueStep], wall_ms: int) -> StepKey | None:
        """Returns the step whose turn it is to come first, or None."""
        waits_since_ms = self._waits_since_ms
        oldest = min(
            (step.key for _, step in due),
            key=lambda key: (waits_since_ms[key], key),
            default=None,
        )
        if oldest is None:
            return None
        if wall_ms - waits_since_ms[oldest] < self._settings.max_wait_ms:
            return None
        ends_ms = self._turn_ends_ms.setdefault(
            oldest, wall_ms + self._settings.first_turn_ms
        )
        if wall_ms < ends_ms:
            return oldest
        del self._turn_ends_ms[oldest]
        waits_since_ms[oldest] = wall_ms
        return self._choose_first(due, wall_ms)

    def _bounds_of(self, job: JobRun, step: StepRun) -> _StepBounds:
        bounds = self._bounds.get(step.key)
        if bounds is None or bounds.terms is not job.terms:
            bounds = _build_bounds(job, step, self._settings.useful_factor)
            self._bounds[step.key] = bounds
        return bounds


def _sum_amounts(found: Iterable[Amounts]) -> Amounts:
    amounts = list(found)
    return Amounts(
        sum(amount.cpu_millicores for amount in amounts),
        sum(amount.memory_mb for amount in amounts),
        sum(amount.gpus_count for amount in amounts),
    )


def _largest_share(amounts: Amounts, room: Amounts) -> float:
    return max(
        amounts.cpu_millicores / room.cpu_millicores,
        amounts.memory_mb / room.memory_mb,
        amounts.gpus_count / room.gpus_count,
    )


def _build_bounds(
    job: JobRun, step: StepRun, useful_factor: float
) -> _StepBounds:
    remaining_ms = chain_estimate_ms(job, step.key.step)
    objective_ms = objective_at_ms(job, step)
    due_at_ms = job.steps[step.key.occurrence, 0].due_at_ms
    useful_ms = due_at_ms + int((objective_ms - due_at_ms) * useful_factor)
    return _StepBounds(
        job.terms, objective_ms - remaining_ms, useful_ms - remaining_ms
    )


__all__ = ('DelayCosts', 'DueStep', 'Usefulness')
