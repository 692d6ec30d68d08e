"""Operations that every daemon offers to callers, with or without a leader.

Any daemon may insert rows of jobs and cancels; the leader follows their
tables. A job is accepted only once its row is stored.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from radishlift.cell.entry_rows import EntryRows
from radishlift.cell.job_rows import dump_job
from radishlift.cell.queues import Queue, QueueConfig
from radishlift.cell.tables import CANCELS, JOBS, PROGRESS
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.outages.comebacks import choose_pause_s
from radishlift.steps.ids import QueueName
from radishlift.steps.runs import JobState
from radishlift.steps.spec import JobSpec

_RETRY_MS: Final = 60
# Time to send the answer before the caller's deadline.
_ANSWER_MARGIN_MS: Final = 100


@dataclass(frozen=True, slots=True)
class JobStatus:
    """State of a job; `reason` explains it if its tasks' ends do not."""

    state: JobState
    reason: str = ''


class JobService:
    """Handles submissions, cancels and queries of callers."""

    def __init__(
        self,
        rows: EntryRows,
        clock: Clock,
        heartbeat_fields: Callable[[], Any],
    ) -> None:
        self._rows = rows
        self._clock = clock
        self._heartbeat_fields = heartbeat_fields
        self.config: QueueConfig | None = None
        self.get_outage_ms: Callable[[], int] = _no_outage

    def find_queue(self, host: str, path: str) -> Queue | Failure:
        """Returns the queue of a host and path.

        Fails with `no_configuration` or `not_found`.
        """
        if self.config is None:
            return Failure(
                ErrorKind.no_configuration, 'no configuration received yet'
            )
        queue = self.config.find(host, path)
        if queue is None:
            return Failure(ErrorKind.not_found, f'no queue at {host}{path}')
        return queue

    async def submit(
        self,
        queue: Queue,
        spec: JobSpec,
        deadline_ms: int,
    ) -> Failure | None:
        """Stores a job; storing it again changes nothing.

        `deadline_ms` is monotonic. Fails with `store_unavailable` only if
        the job is confirmed not to be stored, and with `cancelled` if it was
        cancelled before, so that it will never be stored.
        """
        row = dump_job(spec, queue.terms, self._clock.wall_ms())
        outcome = await self._insert(JOBS, spec.job_id, row, deadline_ms)
        log_event(
            'job_submitted',
            job=spec.job_id,
            queue=queue.terms.queue,
            config_version=self.config.version if self.config else 0,
            outcome='accepted' if outcome is None else outcome.kind,
        )
        return outcome

    async def cancel(self, job_id: JobId, deadline_ms: int) -> Failure | None:
        """Stores a cancel; fails with `not_found` for an unknown job.

        The cancel of an unknown job is stored as well, as its submission may
        still arrive.
        """
        row = {'cancelled_at_ms': self._clock.wall_ms()}
        outcome = await self._insert(CANCELS, job_id, row, deadline_ms)
        log_event(
            'cancel_stored',
            job=job_id,
            outcome='accepted' if outcome is None else outcome.kind,
        )
        if outcome is not None:
            return outcome
        job = await self._rows.read(JOBS, job_id)
        if isinstance(job, Failure):
            # The cancel holds, whether or not there is such a job.
            log_event('cancelled_job_unread', job=job_id, reason=job.reason)
            return None
        if not job.version:
            return Failure(ErrorKind.not_found, f'no job {job_id}')
        return None

    async def read_status(self, job_id: JobId) -> JobStatus | Failure:
        """Returns a job's status; fails with `not_found` if it is unknown."""
        progress = await self._rows.read(PROGRESS, job_id)
        if isinstance(progress, Failure):
            return progress
        if progress.value is not None:
            return JobStatus(
                JobState(progress.value['state']),
                str(progress.value.get('reason', '')),
            )
        job = await self._rows.read(JOBS, job_id)
        if isinstance(job, Failure):
            return job
        if not job.version:
            return Failure(ErrorKind.not_found, f'no job {job_id}')
        return JobStatus(JobState.queued)

    def count_pending(self, queue: QueueName) -> int:
        """Returns how many jobs of a queue have not started."""
        return int(self._heartbeat_fields().get('pending', {}).get(queue, 0))

    def choose_pause_s(self, job_id: JobId, deadline_ms: int) -> int:
        """Returns when a caller whom the store's outage refused may return.

        `deadline_ms` is monotonic.
        """
        pause_s = choose_pause_s(
            job_id,
            self.get_outage_ms(),
            deadline_ms - self._clock.monotonic_ms(),
        )
        log_event('comeback_advised', job=job_id, outcome=f'{pause_s}s')
        return pause_s

    async def _insert(
        self,
        table: str,
        key: str,
        row: dict[str, Any],
        deadline_ms: int,
    ) -> Failure | None:
        """Inserts a row; succeeds if the row already exists.

        Only an insert with an unknown outcome is repeated. As it may still
        take effect, later failures are reported as `store_outcome_unknown`.
        """
        is_unknown = False
        while True:
            outcome = await self._rows.insert(table, key, row)
            # After a cancel no earlier insert can take effect either.
            if outcome is None or outcome.kind is ErrorKind.cancelled:
                return outcome
            if outcome.kind is ErrorKind.store_outcome_unknown:
                is_unknown = True
            remaining_ms = deadline_ms - self._clock.monotonic_ms()
            if remaining_ms < _ANSWER_MARGIN_MS + _RETRY_MS or not is_unknown:
                return _final_failure(outcome, is_unknown=is_unknown)
            await asyncio.sleep(_RETRY_MS / 1000)


def _no_outage() -> int:
    return 0


def _final_failure(outcome: Failure, *, is_unknown: bool) -> Failure:
    if is_unknown:
        return Failure(ErrorKind.store_outcome_unknown, outcome.reason)
    return outcome


__all__ = ('JobService', 'JobStatus')
