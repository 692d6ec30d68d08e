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
    first, as every caller counts the same; steps past use by age. The oldest
    step that has waited for `max_wait_ms` comes before all others, one at a
    time, so that nothing waits for ever behind newer steps.
    """

    def __init__(self, settings: StepSettings) -> None:
        self._settings = settings
        self._room = Amounts(1, 1, 1)
        self._bounds: dict[StepKey, _StepBounds] = {}

    def observe_room(self, targets: Iterable[Target]) -> None:
        """Sums the capacity that room is compared with; at least 1 of each."""
        capacities = [target.entry.capacity for target in targets]
        self._room = Amounts(
            max(1, sum(capacity.cpu_millicores for capacity in capacities)),
            max(1, sum(capacity.memory_mb for capacity in capacities)),
            max(1, sum(capacity.gpus_count for capacity in capacities)),
        )

    def forget(self, key: StepKey) -> None:
        """Drops what is cached for a step that waits no longer."""
        self._bounds.pop(key, None)

    def sort(self, due: list[DueStep], wall_ms: int) -> None:
        """Sorts due steps in place; `wall_ms` is Unix time."""
        due.sort(key=lambda pair: self.rank(pair[0], pair[1], wall_ms))
        oldest = min(due, key=_age_key, default=None)
        due_before_ms = wall_ms - self._settings.max_wait_ms
        if oldest is not None and oldest[1].due_at_ms <= due_before_ms:
            due.remove(oldest)
            due.insert(0, oldest)

    def rank(
        self, job: JobRun, step: StepRun, wall_ms: int
    ) -> tuple[int | float, ...]:
        """Returns the sort key of a step, which does not consider its age."""
        bounds = self._bounds_of(job, step)
        usefulness = _classify(bounds, wall_ms)
        if usefulness is Usefulness.past_use:
            return usefulness, bounds.in_time_until_ms
        return (
            usefulness,
            job.terms.priority,
            self.room_time(step),
            bounds.in_time_until_ms,
        )

    def classify(self, job: JobRun, step: StepRun, wall_ms: int) -> Usefulness:
        """Returns what the caller gains if a step starts now."""
        return _classify(self._bounds_of(job, step), wall_ms)

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
        return share * step.spec.expected_run_ms * waiting_count

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


def _classify(bounds: _StepBounds, wall_ms: int) -> Usefulness:
    if wall_ms <= bounds.in_time_until_ms:
        return Usefulness.in_time
    if wall_ms <= bounds.useful_until_ms:
        return Usefulness.late
    return Usefulness.past_use


def _age_key(pair: DueStep) -> tuple[int, StepKey]:
    return pair[1].due_at_ms, pair[1].key


__all__ = ('DelayCosts', 'DueStep', 'Usefulness')
