"""Estimates of what tasks use, from lagged reports.

Declared sizes are off by 0.2-5x. What the tasks of the same team and job
name used lately tells better what to reserve for the next one.
"""

from array import array
from collections import OrderedDict
from typing import Final

from radishlift.core.ids import TeamName
from radishlift.placement.jobs import JobSpec, Resources

LEAST_SAMPLES_COUNT: Final = 8
"""Fewer reports say too little, so the declared size is used."""
SAMPLES_COUNT: Final = 48
"""Reports that are kept for each name; older ones are overwritten."""
NAMES_COUNT: Final = 500
"""Names that are kept, 0.5 KB each; the longest unused one is dropped."""
QUANTILE: Final = 0.95
MARGIN: Final = 1.1
"""Reserved above the quantile, as a 20th of the samples is above it."""
CPU_STEP_MILLI: Final = 100
MEMORY_STEP_MB: Final = 64
"""Estimates are rounded up to steps, which keeps the demand groups few."""

_Name = tuple[TeamName, str]


class _Samples:
    """The latest reports of one name."""

    __slots__ = ('cpu_milli', 'memory_mb', 'position')

    def __init__(self) -> None:
        self.cpu_milli = array('q')
        self.memory_mb = array('q')
        self.position = 0

    def add(self, usage: Resources) -> None:
        """Adds a report in place of the oldest."""
        if len(self.cpu_milli) < SAMPLES_COUNT:
            self.cpu_milli.append(usage.cpu_milli)
            self.memory_mb.append(usage.memory_mb)
            return
        self.cpu_milli[self.position] = usage.cpu_milli
        self.memory_mb[self.position] = usage.memory_mb
        self.position = (self.position + 1) % SAMPLES_COUNT


class UsageEstimates:
    """Quantiles of usage by team and job name, in bounded memory."""

    def __init__(self) -> None:
        self._samples: OrderedDict[_Name, _Samples] = OrderedDict()

    def add(self, spec: JobSpec, usage: Resources) -> None:
        """Adds a report about a task of a job."""
        name = (spec.team, spec.name)
        samples = self._samples.get(name)
        if samples is None:
            samples = _Samples()
            self._samples[name] = samples
            if len(self._samples) > NAMES_COUNT:
                self._samples.popitem(last=False)
        samples.add(usage)

    def demand_of(self, spec: JobSpec, largest: Resources) -> Resources:
        """Returns the amounts to reserve for a task.

        A demand that is estimated above the declared size is limited to the
        largest worker, so that it does not make the job unplaceable.
        Accelerators are reserved as declared.
        """
        name = (spec.team, spec.name)
        samples = self._samples.get(name)
        if samples is None or len(samples.cpu_milli) < LEAST_SAMPLES_COUNT:
            return spec.demand
        self._samples.move_to_end(name)
        cpu_milli = _estimate(samples.cpu_milli, CPU_STEP_MILLI)
        memory_mb = _estimate(samples.memory_mb, MEMORY_STEP_MB)
        declared = spec.demand
        return Resources(
            min(cpu_milli, max(declared.cpu_milli, largest.cpu_milli)),
            min(memory_mb, max(declared.memory_mb, largest.memory_mb)),
            declared.accelerators_count,
        )


def _estimate(samples: 'array[int]', step: int) -> int:
    ordered = sorted(samples)
    position = min(len(ordered) - 1, int(len(ordered) * QUANTILE))
    wanted = max(1, int(ordered[position] * MARGIN))
    return -(-wanted // step) * step


__all__ = ('UsageEstimates',)
