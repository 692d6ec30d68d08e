"""Operations that every daemon offers to callers, with or without a leader.

Any daemon may insert rows of jobs and cancels; the leader follows their
tables. A job is accepted only once its row is stored.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Final

from radishlift.access.freshness import ConfigFreshness
from radishlift.access.gate import ANYONE, Caller, KeyGate, identify_submitter
from radishlift.access.settings import AccessSettings
from radishlift.cell.entry_rows import SETTLED_KINDS, EntryRows
from radishlift.cell.job_access import may_use_job, refuse_job, unknown_job
from radishlift.cell.job_limits import check_job_size
from radishlift.cell.job_rows import dump_job, read_workspace
from radishlift.cell.queues import Queue, QueueConfig
from radishlift.cell.tables import CANCELS, JOBS, PROGRESS, cancel_key
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId, WorkspaceName
from radishlift.core.logs import log_event
from radishlift.outages.comebacks import choose_pause_s
from radishlift.steps.ids import QueueName
from radishlift.steps.limits import find_oversized_step
from radishlift.steps.runs import JobState
from radishlift.steps.spec import JobSpec
from radishlift.steps.workspaces import NO_WORKSPACE

_RETRY_MS: Final = 60
# Time to send the answer before the caller's deadline.
_ANSWER_MARGIN_MS: Final = 100


@dataclass(frozen=True, slots=True)
class JobStatus:
    """State of a job; `reason` explains it if its tasks' ends do not."""

    state: JobState
    reason: str = ''


class JobService:
    """Handles submissions, cancels and queries of callers.

    Without a gate keys are valid as long as the configuration has them.
    """

    def __init__(
        self,
        rows: EntryRows,
        clock: Clock,
        heartbeat_fields: Callable[[], Any],
        max_row_bytes: int = 0,
        gate: KeyGate | None = None,
    ) -> None:
        self._rows = rows
        self._clock = clock
        self._heartbeat_fields = heartbeat_fields
        self._max_row_bytes = max_row_bytes
        self._gate = gate or KeyGate(ConfigFreshness(clock), AccessSettings())
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

    @property
    def can_admit(self) -> bool:
        """Returns whether callers with a key can be served, if any need one."""
        if self.config is None or not self.config.workspaces:
            return True
        return self._gate.can_admit

    def identify(
        self, queue: Queue, authorizations: Sequence[str]
    ) -> Caller | Failure:
        """Returns the caller that the `Authorization` headers identify.

        Fails with `unauthenticated`, or with `configuration_outdated` if this
        daemon can't know whether the key is valid, if the queue requires a key.
        """
        config = self.config
        if config is None or not config.workspaces:
            return identify_submitter(authorizations)
        if queue.is_public:
            return self._gate.admit_to_public(
                authorizations, config.find_workspace
            )
        caller = self._gate.admit(authorizations, config.find_workspace)
        if isinstance(caller, Failure):
            _log_rejection(caller, queue)
        return caller

    async def submit(
        self,
        queue: Queue,
        spec: JobSpec,
        deadline_ms: int,
        caller: Caller = ANYONE,
    ) -> Failure | None:
        """Stores a job; storing it again changes nothing.

        `deadline_ms` is monotonic. The key is judged again right before the
        job is stored. Fails with `store_unavailable` only if the job is
        confirmed not to be stored, with `cancelled` if it was cancelled
        before, so that it will never be stored, with `conflict` if a job of
        another workspace has its id, with `too_large` if its progress would
        not fit in a row of the store, and with `never_fits` if the limit of
        its workspace does not allow one of its steps.
        """
        row = dump_job(
            spec,
            queue.terms,
            self._clock.wall_ms(),
            caller.owner,
            caller.key_digest,
        )
        outcome = check_job_size(spec, row, self._max_row_bytes)
        if outcome is None:
            outcome = await self._find_oversized(spec, caller.owner)
        if outcome is None:
            outcome = await self._insert(
                JOBS,
                spec.job_id,
                row,
                deadline_ms,
                lambda: self._check_again(queue, caller),
            )
        log_event(
            'job_submitted',
            job=spec.job_id,
            queue=queue.terms.queue,
            config_version=self.config.version if self.config else 0,
            outcome='accepted' if outcome is None else outcome.kind,
        )
        return outcome

    async def cancel(
        self,
        job_id: JobId,
        deadline_ms: int,
        caller: Caller = ANYONE,
    ) -> Failure | None:
        """Stores a cancel; fails with `not_found` for an unknown job.

        The cancel of an unknown job is stored as well, as its submission may
        still arrive. A job of another workspace is unknown, and the cancel has
        no effect on it; a caller without a sufficient key is refused.
        """
        outcome = await self._store_cancel(job_id, deadline_ms, caller.owner)
        log_event(
            'cancel_stored',
            job=job_id,
            outcome='accepted' if outcome is None else outcome.kind,
        )
        if outcome is not None:
            return outcome
        job = await self._rows.read(JOBS, job_id)
        if isinstance(job, Failure):
            log_event('cancelled_job_unread', job=job_id, reason=job.reason)
            # The cancel holds, unless the job may be one of a workspace.
            is_unsure = caller.key_hash is not None and not caller.owner
            return job if is_unsure else None
        owners = {caller.workspace, NO_WORKSPACE}
        if job.value is not None:
            if not may_use_job(job, caller):
                return refuse_job(job_id, caller)
            owners = {read_workspace(job.value)}
        # Its queue may have required a key then and none now, or vice versa.
        for owner in owners - {caller.owner}:
            failure = await self._store_cancel(job_id, deadline_ms, owner)
            if failure is not None:
                return failure
        return unknown_job(job_id) if job.value is None else None

    async def read_status(
        self, job_id: JobId, caller: Caller = ANYONE
    ) -> JobStatus | Failure:
        """Returns a job's status.

        Fails with `not_found` if it is unknown or of another workspace, and as
        the caller's refusal says if it is of a workspace and needs a key.
        """
        progress = await self._rows.read(PROGRESS, job_id)
        if isinstance(progress, Failure):
            return progress
        status = JobStatus(JobState.queued)
        if progress.value is not None:
            status = JobStatus(
                JobState(progress.value['state']),
                str(progress.value.get('reason', '')),
            )
            if may_use_job(progress, caller):
                return status
        # Only the row of the job names its caller's key.
        job = await self._rows.read(JOBS, job_id)
        if isinstance(job, Failure):
            return job
        if job.value is None:
            return unknown_job(job_id)
        return (
            status if may_use_job(job, caller) else refuse_job(job_id, caller)
        )

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

    def _check_again(self, queue: Queue, caller: Caller) -> Failure | None:
        if self.config is None or not self.config.workspaces:
            return None
        refusal = self._gate.check_again(caller, self.config.find_workspace)
        if refusal is not None:
            _log_rejection(refusal, queue)
        return refusal

    async def _store_cancel(
        self, job_id: JobId, deadline_ms: int, workspace: WorkspaceName
    ) -> Failure | None:
        row = {'cancelled_at_ms': self._clock.wall_ms()}
        key = cancel_key(job_id, workspace)
        return await self._insert(CANCELS, key, row, deadline_ms)

    async def _find_oversized(
        self, spec: JobSpec, workspace: WorkspaceName
    ) -> Failure | None:
        """Returns why a job can never run within the limit, if so.

        A job that is stored already is accepted again, as its limit may have
        been lowered since.
        """
        if self.config is None or not workspace:
            return None
        terms = self.config.workspace_terms().get(workspace)
        number = find_oversized_step(spec, terms)
        if number is None:
            return None
        stored = await self._rows.read(JOBS, spec.job_id)
        if isinstance(stored, Failure):
            return stored
        if stored.version:
            return None
        return Failure(
            ErrorKind.never_fits,
            f'step {number} exceeds the limit of its workspace',
        )

    async def _insert(
        self,
        table: str,
        key: str,
        row: dict[str, Any],
        deadline_ms: int,
        find_refusal: Callable[[], Failure | None] | None = None,
    ) -> Failure | None:
        """Inserts a row; succeeds if the row already exists.

        Only an insert with an unknown outcome is repeated. As it may still
        take effect, later failures are reported as `store_outcome_unknown`.
        """
        is_unknown = False
        while True:
            refusal = find_refusal() if find_refusal else None
            if refusal is not None:
                return _final_failure(refusal, is_unknown=is_unknown)
            outcome = await self._rows.insert(table, key, row)
            # After a cancel no earlier insert can take effect either.
            if outcome is None or outcome.kind in SETTLED_KINDS:
                return outcome
            if outcome.kind is ErrorKind.store_outcome_unknown:
                is_unknown = True
            remaining_ms = deadline_ms - self._clock.monotonic_ms()
            if remaining_ms < _ANSWER_MARGIN_MS + _RETRY_MS or not is_unknown:
                return _final_failure(outcome, is_unknown=is_unknown)
            await asyncio.sleep(_RETRY_MS / 1000)


def _no_outage() -> int:
    return 0


def _log_rejection(failure: Failure, queue: Queue) -> None:
    log_event(
        'call_rejected',
        queue=queue.terms.queue,
        outcome=failure.kind,
        reason=failure.reason,
    )


def _final_failure(outcome: Failure, *, is_unknown: bool) -> Failure:
    if is_unknown:
        return Failure(ErrorKind.store_outcome_unknown, outcome.reason)
    return outcome


__all__ = ('JobService', 'JobStatus')
