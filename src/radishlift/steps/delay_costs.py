"""Order of waiting steps by what their delay costs the callers.

Answers a load that exceeds the room of the targets for a while, such as a
burst of several times the usual rate. Room that a large step takes is room
that several small ones of the same priority miss, so that the callers who lose
least are those whose steps need most room for one answer in time.
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

    Steps are sorted by usefulness and by the priority of their queue. Useful
    steps of the same priority are sorted by room times run time, smallest
    first, as every caller counts the same; steps past use by age. Of the steps
    that have waited for `max_wait_ms`, the one that has waited longest comes
    before all others, so that nothing waits for ever behind newer steps. It is
    the next one's turn after `first_turn_ms`, as a step may fit nowhere.

    The wait is counted from when this object first sorts a step that waits.
    """

    def __init__(self, settings: StepSettings) -> None:
        self._settings = settings
        self._room = Amounts(1, 1, 1)
        self._bounds: dict[StepKey, _StepBounds] = {}
        self._waits_since_ms: dict[StepKey, int] = {}
        self._turn_ends_ms: dict[StepKey, int] = {}

    def observe_room(self, targets: Iterable[Target]) -> None:
        """Sums the capacity that room is compared with; at least 1 of each."""
        capacities = [target.entry.capacity for target in targets]
        self._room = Amounts(
            max(1, sum(capacity.cpu_millicores for capacity in capacities)),
            max(1, sum(capacity.memory_mb for capacity in capacities)),
            max(1, sum(capacity.gpus_count for capacity in capacities)),
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
        due.sort(
            key=lambda pair: (
                pair[1].key != first,
                self.rank(pair[0], pair[1], wall_ms),
            )
        )

    def rank(
        self, job: JobRun, step: StepRun, wall_ms: int
    ) -> tuple[int | float, ...]:
        """Returns the sort key of a step, which does not consider its age."""
        bounds = self._bounds_of(job, step)
        usefulness = self.classify(job, step, wall_ms)
        if usefulness is Usefulness.past_use:
            return usefulness, bounds.in_time_until_ms
        return (
            usefulness,
            job.terms.priority,
            self.room_time(step),
            bounds.in_time_until_ms,
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
        """Returns the share of all room times the run time in milliseconds.

        The share is that of the scarcest resource, for all waiting tasks.
        """
        amounts, room = step.spec.allocated_amounts, self._room
        share = max(
            amounts.cpu_millicores / room.cpu_millicores,
            amounts.memory_mb / room.memory_mb,
            amounts.gpus_count / room.gpus_count,
        )
        waiting_count = sum(
            task.state is TaskState.waiting for task in step.tasks
        )
        # Run times that callers don't estimate are 0.
        return share * max(1, step.spec.expected_run_ms) * waiting_count

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
