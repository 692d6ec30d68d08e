"""Estimates of the resource usage of tasks, from delayed reports.

Declared sizes are off by a factor of 0.2-5. Recent usage by tasks of the same
team and job name is a better estimate of what to reserve for the next task.
"""

from array import array
from collections import OrderedDict
from typing import Final

from radishlift.placement.jobs import JobSpec, Resources
from radishlift.placement.learned_statistics import (
    MAX_NAMES_COUNT,
    LearnedStatistics,
    LearnedUsage,
    UsageKey,
)

MIN_SAMPLES_COUNT: Final = 8
"""With fewer reports the declared size is used."""
MAX_SAMPLES_COUNT: Final = 48
"""Reports kept for each team and job name; older ones are overwritten."""
WINDOW_MS: Final = 600_000
"""Length of a window of reports. Reports of the previous window no longer
count once there are enough new ones."""
QUANTILE: Final = 0.95
MARGIN: Final = 1.1
"""Factor on the quantile, because 1 of 20 samples is above it."""
CPU_STEP_MILLI: Final = 100
MEMORY_STEP_MB: Final = 64
"""Estimates are rounded up to these steps, which keeps the number of demand
groups in the queue small."""


class _Samples:
    """The latest reports of one team and job name in a window."""

    __slots__ = ('cpu_milli', 'ends_ms', 'memory_mb', 'position')

    def __init__(self, ends_ms: int) -> None:
        self.ends_ms = ends_ms
        self.cpu_milli = array('q')
        self.memory_mb = array('q')
        self.position = 0

    @property
    def is_enough(self) -> bool:
        """Returns whether there are enough reports for an estimate."""
        return len(self.cpu_milli) >= MIN_SAMPLES_COUNT

    def is_over(self, now_ms: int) -> bool:
        """Returns whether the window has ended with enough reports."""
        return now_ms >= self.ends_ms and self.is_enough

    def add(self, usage: Resources) -> None:
        """Adds a report in place of the oldest."""
        if len(self.cpu_milli) < MAX_SAMPLES_COUNT:
            self.cpu_milli.append(usage.cpu_milli)
            self.memory_mb.append(usage.memory_mb)
            return
        self.cpu_milli[self.position] = usage.cpu_milli
        self.memory_mb[self.position] = usage.memory_mb
        self.position = (self.position + 1) % MAX_SAMPLES_COUNT


class UsageEstimates:
    """Quantiles of usage by team and job name, in bounded memory.

    Until the current window has enough reports, the estimate that the
    previous one left in `statistics` is used. An outlier therefore has no
    effect after its window, however few reports arrive.
    """

    def __init__(self, statistics: LearnedStatistics | None = None) -> None:
        self._statistics = (
            LearnedStatistics() if statistics is None else statistics
        )
        self._samples: OrderedDict[UsageKey, _Samples] = OrderedDict()
        self._updated_keys: dict[UsageKey, None] = {}

    def add(self, spec: JobSpec, usage: Resources, now_ms: int = 0) -> None:
        """Adds a report about a task of a job."""
        name = (spec.team, spec.name)
        samples = self._samples.get(name)
        if samples is None or samples.is_over(now_ms):
            samples = _Samples(now_ms + WINDOW_MS)
            self._samples[name] = samples
            if len(self._samples) > MAX_NAMES_COUNT:
                dropped, _ = self._samples.popitem(last=False)
                self._updated_keys.pop(dropped, None)
        samples.add(usage)
        self._updated_keys[name] = None

    def pop_changed(self, limit: int) -> tuple[LearnedUsage, ...]:
        """Returns new or changed estimates to journal, up to a limit."""
        changed: list[LearnedUsage] = []
        for name in list(self._updated_keys):
            if len(changed) == limit:
                break
            del self._updated_keys[name]
            found = self._current_estimate(name)
            if found is not None and found != self._statistics.usages.get(name):
                changed.append(found)
        return tuple(changed)

    def estimate_demand(self, spec: JobSpec, largest: Resources) -> Resources:
        """Returns the amounts to reserve for a task.

        An estimate above the declared size is limited to the largest worker,
        so that the job can still be placed. Accelerators are reserved as
        declared.
        """
        name = (spec.team, spec.name)
        found = self._current_estimate(name) or self._statistics.usages.get(
            name
        )
        if found is None:
            return spec.demand
        if name in self._samples:
            self._samples.move_to_end(name)
        declared = spec.demand
        return Resources(
            min(found.cpu_milli, max(declared.cpu_milli, largest.cpu_milli)),
            min(found.memory_mb, max(declared.memory_mb, largest.memory_mb)),
            declared.accelerators_count,
        )

    def _current_estimate(self, name: UsageKey) -> LearnedUsage | None:
        samples = self._samples.get(name)
        if samples is None or not samples.is_enough:
            return None
        return LearnedUsage(
            *name,
            _estimate(samples.cpu_milli, CPU_STEP_MILLI),
            _estimate(samples.memory_mb, MEMORY_STEP_MB),
        )


def _estimate(samples: 'array[int]', step: int) -> int:
    ordered = sorted(samples)
    position = min(len(ordered) - 1, int(len(ordered) * QUANTILE))
    wanted = max(1, int(ordered[position] * MARGIN))
    return -(-wanted // step) * step


__all__ = ('MAX_NAMES_COUNT', 'WINDOW_MS', 'UsageEstimates')
