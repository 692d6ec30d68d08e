"""The jobs of a leader."""

from collections.abc import Iterator, Mapping
from typing import Any, Final

from radishlift.cell.commits import CommitCallback, CommitLog
from radishlift.cell.queues import QueueConfig
from radishlift.cell.recent_ids import RecentIds
from radishlift.core.clock import Clock
from radishlift.core.ids import JobId, WorkspaceName
from radishlift.core.logs import log_event
from radishlift.steps.ids import StepKey
from radishlift.steps.planner import Planner
from radishlift.steps.runs import ENDED_STATES, JobRun, JobState, StepRun

# Above the time that a read of all jobs takes on the slowest link.
_KNOWN_REMOVED_MS: Final = 180_000


class JobTable:
    """All jobs by id; passes changes to the planner and the store.

    `removed` are the jobs that it had until recently.
    """

    def __init__(self, planner: Planner, log: CommitLog, clock: Clock) -> None:
        self._planner = planner
        self._log = log
        self._clock = clock
        self._jobs: dict[JobId, JobRun] = {}
        self._ended_at_ms: dict[JobId, int] = {}
        self.removed = RecentIds(_KNOWN_REMOVED_MS, clock)
        self._earlier_pending: dict[str, int] | None = None

    def __iter__(self) -> Iterator[JobRun]:
        return iter(self._jobs.values())

    def __contains__(self, job_id: JobId) -> bool:
        return job_id in self._jobs

    def get(self, job_id: JobId) -> JobRun | None:
        """Returns a job, or None if it is unknown."""
        return self._jobs.get(job_id)

    def find_step(self, key: StepKey) -> StepRun | None:
        """Returns a step of a job, or None if it is unknown."""
        job = self._jobs.get(key.job_id)
        if job is None:
            return None
        return job.steps.get((key.occurrence, key.step))

    def add(self, job: JobRun) -> None:
        """Adds a job that is in the store; ignores known jobs."""
        job_id = job.spec.job_id
        if job_id in self._jobs:
            return
        self._jobs[job_id] = job
        self._record_end(job)
        self._planner.update_job(job)

    def save(self, job: JobRun, callback: CommitCallback | None = None) -> None:
        """Commits a changed job; the callback runs after the commit."""
        self._record_end(job)
        self._planner.update_job(job)
        self._log.enqueue(job, callback)

    def end_job(self, job: JobRun, state: JobState) -> None:
        """Ends a job early and commits its state."""
        job.state = state
        log_event('job_ended', job=job.spec.job_id, state=state)
        self.save(job)

    def apply_config(self, config: QueueConfig) -> None:
        """Applies the latest terms to jobs that have not ended."""
        for job in self._jobs.values():
            queue = config.find_by_name(job.terms.queue)
            if queue is not None and not job.is_ended:
                job.terms = queue.terms

    def open_workspaces(self) -> set[WorkspaceName]:
        """Returns the workspaces of the jobs that have not ended."""
        return {
            job.workspace for job in self._jobs.values() if not job.is_ended
        }

    def begin_load(self, heartbeat: Mapping[str, Any] | None) -> None:
        """Shows the counts of the previous leader until all jobs are read."""
        self._earlier_pending = dict((heartbeat or {}).get('pending', {}))

    def end_load(self) -> None:
        """Shows the counts of the jobs that were added."""
        self._earlier_pending = None

    def heartbeat_fields(self) -> dict[str, Any]:
        """Returns the heartbeat's count of jobs that have not started."""
        if self._earlier_pending is not None:
            return {'pending': self._earlier_pending}
        pending: dict[str, int] = {}
        for job in self._jobs.values():
            if not job.has_started and not job.is_ended:
                queue = job.terms.queue
                pending[queue] = pending.get(queue, 0) + 1
        return {'pending': pending}

    def list_ended_before(self, limit_ms: int) -> list[JobId]:
        """Lists jobs that ended before a monotonic time.

        Jobs whose end is not committed are left out: another leader may still
        run them.
        """
        return [
            job_id
            for job_id, ended_at_ms in self._ended_at_ms.items()
            if ended_at_ms < limit_ms
            and self._jobs[job_id].committed_state in ENDED_STATES
        ]

    def remove(self, job_id: JobId) -> None:
        """Removes an ended job, whose row may still be read for a while."""
        self.removed.add(job_id)
        del self._jobs[job_id]
        del self._ended_at_ms[job_id]

    def _record_end(self, job: JobRun) -> None:
        if job.is_ended:
            now_ms = self._clock.monotonic_ms()
            self._ended_at_ms.setdefault(job.spec.job_id, now_ms)


__all__ = ('JobTable',)
