"""Run times of the tasks of a step, which are compared with each other."""

import math
import statistics
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from radishlift.steps.ids import QueueName, StepKey, TargetId
from radishlift.steps.targets import TargetEntry

# The other tasks of a step have probably ended after this multiple of the time
# that its fastest task has run.
_COLLECTED_RUNS: Final = 2.5
_MAX_STEPS_COUNT: Final = 1000
# Logarithm of a run time from that of its step beyond which it counts as a
# tail: 65% longer.
_TAIL_RESIDUAL: Final = 0.5


@dataclass(frozen=True, slots=True)
class TaskRunTime:
    """Run time of an attempt that was done, from its start to its end.

    `tasks_count` is the number of tasks of its step.
    """

    step_key: StepKey
    queue: QueueName
    tasks_count: int
    estimate_ms: int
    run_ms: int


@dataclass(slots=True)
class StepRunTimes:
    """Ends of the tasks of one step so far, with their targets."""

    complete_at_ms: float
    ends: list[tuple[TargetEntry, TaskRunTime]] = field(default_factory=list)

    def median_logs(self) -> list[tuple[TargetEntry, float]]:
        """Returns the median logarithm of the run times by target."""
        logs: dict[TargetId, list[float]] = {}
        entries = {}
        for entry, run_time in self.ends:
            entries[entry.target_id] = entry
            logs.setdefault(entry.target_id, []).append(
                math.log(run_time.run_ms)
            )
        return [
            (entries[target_id], statistics.median(target_logs))
            for target_id, target_logs in logs.items()
        ]


class CollectedSteps:
    """Collects the run times of a step before they are compared.

    The first ends of a step are those on fast targets. A comparison with only
    these would take all others for slow.
    """

    def __init__(self) -> None:
        self._steps: dict[StepKey, StepRunTimes] = {}

    def add(
        self, entry: TargetEntry, run_time: TaskRunTime, now_ms: int
    ) -> StepRunTimes | None:
        """Adds an end; returns the step if it is complete."""
        key = run_time.step_key
        step = self._steps.get(key)
        if step is None:
            step = StepRunTimes(
                now_ms + (_COLLECTED_RUNS - 1) * run_time.run_ms
            )
            self._steps[key] = step
        step.ends.append((entry, run_time))
        is_complete = len(step.ends) >= run_time.tasks_count
        if is_complete:
            del self._steps[key]
            return step
        if len(self._steps) > _MAX_STEPS_COUNT:
            del self._steps[next(iter(self._steps))]
        return None

    def pop_due(self, now_ms: int) -> Iterator[StepRunTimes]:
        """Yields and removes the steps whose other tasks are tails."""
        due = [
            key
            for key, step in self._steps.items()
            if step.complete_at_ms <= now_ms
        ]
        for key in due:
            yield self._steps.pop(key)


def common_errors(residuals: list[float], prior_weight: float) -> list[float]:
    """Estimates the error that all tasks of a step share, for each target.

    `residuals` are those of the logarithms by target. The estimate for a target
    uses the other targets only and shrinks to 0 as if `prior_weight` more had
    no residual. Tails are clipped at the median.
    """
    median = statistics.median(residuals)
    low, high = median - _TAIL_RESIDUAL, median + _TAIL_RESIDUAL
    clipped = [max(low, min(high, residual)) for residual in residuals]
    total = sum(clipped)
    weight = len(residuals) - 1 + prior_weight
    return [(total - own) / weight for own in clipped]


__all__ = ('CollectedSteps', 'StepRunTimes', 'TaskRunTime', 'common_errors')
