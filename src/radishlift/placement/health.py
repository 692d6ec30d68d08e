"""Failure rates of workers, compared with those of the other workers."""

from dataclasses import dataclass, field
from typing import Final

from radishlift.core.ids import JobId
from radishlift.placement.jobs import WorkerInfo
from radishlift.placement.learned_statistics import HealthLearned, LearnedHealth
from radishlift.placement.worker_table import WorkerTable

MIN_STREAK_COUNT: Final = 3
"""Consecutive failures below which a worker is not suspect."""
MAX_STREAK_PROBABILITY: Final = 0.001
"""A worker is suspect if, at the failure rate of the other workers, a streak
as long as its own is less probable than this."""
HALVING_COUNT: Final = 512
"""Ends of attempts after which all counts are halved, so that the weight of
old ones decreases."""
EXPORTED_WORKERS_COUNT: Final = 64
"""Maximum workers in a health record."""
MIN_PROBE_WAIT_MS: Final = 5_000
MAX_PROBE_WAIT_MS: Final = 300_000


@dataclass(slots=True)
class WorkerHealth:
    """Ends of attempts on a worker.

    `streak_count` counts consecutive failures, and `failing_jobs` has up to
    two of their jobs: one faulty job alone does not make a worker suspect.
    """

    ended_count: float = 0
    failed_count: float = 0
    streak_count: int = 0
    failing_jobs: set[JobId] = field(default_factory=set)
    probe_wait_ms: int = MIN_PROBE_WAIT_MS
    next_probe_ms: int = 0


class FleetHealth:
    """Ends of attempts on all workers of a partition.

    `is_changed` is set by failures and reset by the check of the workers.
    """

    def __init__(self) -> None:
        self.quarantined: dict[int, None] = {}
        self.is_changed = False
        self._workers: dict[int, WorkerHealth] = {}
        self._ended_count: float = 0
        self._failed_count: float = 0

    def get_or_add(self, row: int) -> WorkerHealth:
        """Returns the health of a worker, adding it if needed."""
        worker = self._workers.get(row)
        if worker is None:
            worker = WorkerHealth()
            self._workers[row] = worker
        return worker

    def forget(self, row: int) -> None:
        """Deletes the health of a worker that was removed or restarted."""
        self._workers.pop(row, None)

    def count_success(self, row: int) -> None:
        """Counts an attempt that finished."""
        worker = self.get_or_add(row)
        worker.streak_count = 0
        worker.failing_jobs.clear()
        worker.probe_wait_ms = MIN_PROBE_WAIT_MS
        self._count(worker, 0)

    def count_failure(self, row: int, job_id: JobId) -> None:
        """Counts an attempt that failed by itself."""
        worker = self.get_or_add(row)
        worker.streak_count += 1
        self.is_changed = True
        if len(worker.failing_jobs) < 2:
            worker.failing_jobs.add(job_id)
        self._count(worker, 1)

    def is_suspect(self, row: int) -> bool:
        """Returns whether a worker fails much more often than the others."""
        worker = self._workers.get(row)
        if worker is None or worker.streak_count < MIN_STREAK_COUNT:
            return False
        if len(worker.failing_jobs) < 2:
            return False
        others_failed = self._failed_count - worker.failed_count
        others_ended = self._ended_count - worker.ended_count
        # One failure and one success are added, so that the rate is 1/2 as
        # long as no attempt has ended elsewhere.
        rate = (others_failed + 1) / (others_ended + 2)
        return rate**worker.streak_count < MAX_STREAK_PROBABILITY

    def suspects(self) -> list[int]:
        """Lists the suspect workers."""
        return [row for row in self._workers if self.is_suspect(row)]

    def export(self, workers: WorkerTable) -> HealthLearned:
        """Returns the totals, and the counts of workers with failures.

        Workers with the longest streaks come first.
        """
        failed = sorted(
            (row for row in self._workers if self._workers[row].failed_count),
            key=lambda row: (
                -self._workers[row].streak_count,
                -self._workers[row].failed_count,
            ),
        )
        return HealthLearned(
            self._ended_count,
            self._failed_count,
            tuple(
                self._export_worker(
                    workers.worker_info[row], self._workers[row]
                )
                for row in failed[:EXPORTED_WORKERS_COUNT]
            ),
        )

    def restore(self, statistics: HealthLearned, workers: WorkerTable) -> None:
        """Restores the counts of the previous owner."""
        self._ended_count = statistics.ended_count
        self._failed_count = statistics.failed_count
        for recorded in statistics.workers:
            row = workers.row_of.get(recorded.worker_id)
            if row is None:
                continue
            if workers.worker_info[row].incarnation == recorded.incarnation:
                self._workers[row] = WorkerHealth(
                    recorded.ended_count,
                    recorded.failed_count,
                    recorded.streak_count,
                    set(recorded.failing_jobs),
                )
                self.is_changed = True

    def _export_worker(
        self,
        worker_info: WorkerInfo,
        worker: WorkerHealth,
    ) -> LearnedHealth:
        return LearnedHealth(
            worker_info.worker_id,
            worker_info.incarnation,
            worker.ended_count,
            worker.failed_count,
            worker.streak_count,
            tuple(sorted(worker.failing_jobs)),
        )

    def _count(self, worker: WorkerHealth, failed_count: int) -> None:
        worker.ended_count += 1
        worker.failed_count += failed_count
        self._ended_count += 1
        self._failed_count += failed_count
        if self._ended_count >= HALVING_COUNT:
            self._halve()

    def _halve(self) -> None:
        self._ended_count /= 2
        self._failed_count /= 2
        for worker in self._workers.values():
            worker.ended_count /= 2
            worker.failed_count /= 2


__all__ = ('FleetHealth', 'WorkerHealth')
