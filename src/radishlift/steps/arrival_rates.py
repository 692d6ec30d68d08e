"""Which jobs a workspace has submitted beyond its rate.

A workspace may submit `weight` jobs a second. The jobs of each second are
counted by when they were accepted, so that a later leader gets the same
result, and hosts whose clocks differ are not taken for a burst.
"""

from math import ceil
from typing import Final

from radishlift.core.ids import JobId, WorkspaceName
from radishlift.steps.limits import WorkspaceLimits
from radishlift.steps.runs import JobRun

_WINDOW_MS: Final = 1000
# Two jobs at the same time are no burst.
_MIN_COUNT: Final = 2
_KEPT_WINDOWS_COUNT: Final = 1000


class ArrivalRates:
    """Marks each job as within or beyond the rate of its workspace once."""

    def __init__(self, limits: WorkspaceLimits) -> None:
        self._limits = limits
        self._unrated: dict[JobId, JobRun] = {}
        self._counts: dict[tuple[WorkspaceName, int], int] = {}

    def add(self, job: JobRun) -> None:
        """Adds a job, which is rated before the next tick."""
        if job.workspace and job.is_beyond_rate is None:
            self._unrated[job.spec.job_id] = job

    def rate_added(self) -> None:
        """Rates the jobs that were added since the last tick."""
        if not self._unrated or not self._limits.is_known:
            return
        for job in sorted(self._unrated.values(), key=_accepted_at_ms):
            job.is_beyond_rate = self._is_beyond(job)
        self._unrated.clear()
        excess_count = len(self._counts) - _KEPT_WINDOWS_COUNT
        for key in list(self._counts)[: max(0, excess_count)]:
            del self._counts[key]

    def _is_beyond(self, job: JobRun) -> bool:
        terms = self._limits.terms.get(job.workspace)
        if terms is None:
            return False
        key = job.workspace, job.accepted_at_ms // _WINDOW_MS
        count = self._counts.get(key, 0) + 1
        self._counts[key] = count
        return count > max(_MIN_COUNT, ceil(terms.weight * _WINDOW_MS / 1000))


def _accepted_at_ms(job: JobRun) -> int:
    return job.accepted_at_ms


__all__ = ('ArrivalRates',)
