"""Transactions of the leader, sent one at a time.

Every transaction requires that the leader's row and the row written by the
previous transaction are unchanged. A transaction without an answer is
repeated unchanged: at most one copy takes effect, and none does after a later
transaction.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, Final

from radishlift.cell.fences import last_token
from radishlift.cell.ports import CellStore
from radishlift.cell.progress_rows import measure_progress
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import (
    CELL,
    COMMITS,
    HEARTBEAT_KEY,
    LAST_COMMIT_KEY,
    LEADER_KEY,
    PROGRESS,
)
from radishlift.cell.unrenewed_leases import UnrenewedLeases
from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.services.api import (
    Committed,
    Condition,
    Conflict,
    Transaction,
    Write,
)
from radishlift.steps.ids import FencingToken
from radishlift.steps.progress import dump_end, dump_progress
from radishlift.steps.runs import JobRun, JobState

# The store accepts 100 entries per transaction: two are conditions, and four
# are rows of the commit, the heartbeat, the unrenewed leases and the speeds.
_MAX_BATCH_JOBS: Final = 90
_RETRY_MS: Final = 60

CommitCallback = Callable[[], None]


@dataclass(slots=True)
class Claim:
    """Epoch of a leader, and row versions that its next commit requires.

    No other daemon had claimed the lead before `claimed_at_ms`. The term may
    use the fencing tokens from its epoch to `last_token`. `abandoned_count` is
    how many leaders have stepped down in a row because they could not work.
    """

    epoch: FencingToken
    leader_version: int
    last_version: int
    claimed_at_ms: int
    abandoned_count: int = 0

    @property
    def last_token(self) -> FencingToken:
        """Returns the highest fencing token of the term."""
        return last_token(self.epoch)


@unique
class CommitState(Enum):
    """Whether the daemon still leads after a commit."""

    leading = 'leading'
    deposed = 'deposed'


@dataclass(slots=True)
class _Batch:
    sequence: int
    writes: tuple[Write, ...]
    states: list[tuple[JobRun, JobState]] = field(default_factory=list)
    ended: list[JobRun] = field(default_factory=list)
    callbacks: list[CommitCallback] = field(default_factory=list)
    waiters: list[asyncio.Future[None]] = field(default_factory=list)

    def add(self, job: JobRun, row: Mapping[str, Any]) -> None:
        """Adds a job with its progress."""
        self.states.append((job, job.state))
        if job.is_ended and not row['steps']:
            self.ended.append(job)


class CommitLog:
    """Commits the progress of jobs and then runs their callbacks.

    `heartbeat_fields` returns the fields of the leader heartbeat, and
    `list_writes` what else is written with it. Jobs whose progress is above
    `max_row_bytes`, if that is not 0, are passed to `on_too_large`, which must
    end them; then only their state is stored.
    """

    def __init__(
        self,
        store: CellStore,
        claim: Claim,
        settings: CellSettings,
        clock: Clock,
        max_row_bytes: int = 0,
    ) -> None:
        self._store = store
        self._max_row_bytes = max_row_bytes
        self._claim = claim
        self._settings = settings
        self._clock = clock
        self._dirty: dict[JobId, JobRun] = {}
        self._callbacks: dict[JobId, list[CommitCallback]] = {}
        self._to_delete: list[JobId] = []
        # Waiters by the number of enqueued jobs that must be committed before.
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._collected_count = 0
        self._current: _Batch | None = None
        self._has_work = asyncio.Event()
        self._sequence = 0
        self._heartbeat_at_ms = 0
        self._is_failing = False
        self.confirmed_at_ms = claim.claimed_at_ms
        self.heartbeat_fields: Callable[[], Mapping[str, Any]] = dict
        self.on_too_large: Callable[[JobRun], None] = _ignore_job
        self.list_writes: Callable[[], list[Write]] = list
        self.unrenewed = UnrenewedLeases(claim.last_token, self._has_work.set)

    @property
    def is_confirmed(self) -> bool:
        """Returns whether a recent commit confirms that this daemon leads."""
        age_ms = self._clock.monotonic_ms() - self.confirmed_at_ms
        return age_ms <= self._settings.unconfirmed_ms

    @property
    def is_lead_undisputed(self) -> bool:
        """Returns whether no other daemon can have taken over."""
        age_ms = self._clock.monotonic_ms() - self.confirmed_at_ms
        return age_ms <= self._settings.silence_ms

    def enqueue(
        self, job: JobRun, callback: CommitCallback | None = None
    ) -> None:
        """Adds a job to the next commit; the callback runs after it."""
        job_id = job.spec.job_id
        self._dirty[job_id] = job
        if callback is not None:
            self._callbacks.setdefault(job_id, []).append(callback)
        self._has_work.set()

    def delete_progress(self, job_id: JobId) -> None:
        """Deletes the progress of a job whose row is not in the store."""
        self._to_delete.append(job_id)
        self._has_work.set()

    async def wait_committed(self) -> None:
        """Waits until all jobs enqueued so far are committed."""
        waiter = asyncio.get_running_loop().create_future()
        if self._dirty:
            last_count = self._collected_count + len(self._dirty)
            self._waiters.append((last_count, waiter))
        elif self._current:
            self._current.waiters.append(waiter)
        else:
            return
        await waiter

    async def run(self) -> None:
        """Commits until this daemon is deposed."""
        while True:
            await self._wait_for_work()
            batch = self._collect_batch()
            self._current = batch
            if await self._commit(batch) is CommitState.deposed:
                return
            self._current = None
            self.unrenewed.finish_write()
            for job, state in batch.states:
                job.committed_state = state
            for job in batch.ended:
                job.is_end_stored = True
            for callback in batch.callbacks:
                callback()
            for waiter in batch.waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def _wait_for_work(self) -> None:
        if self._dirty:
            return
        self._has_work.clear()
        try:
            async with asyncio.timeout(self._settings.pulse_ms / 1000):
                await self._has_work.wait()
        except TimeoutError:
            return
        # Lets simultaneous changes share one transaction.
        await asyncio.sleep(0)

    def _is_heartbeat_due(self) -> bool:
        # Every daemon reads each heartbeat, so most commits do not write one.
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._heartbeat_at_ms < self._settings.pulse_ms:
            return False
        self._heartbeat_at_ms = now_ms
        return True

    def _collect_batch(self) -> _Batch:
        self._sequence += 1
        fields = {'epoch': self._claim.epoch, 'number': self._sequence}
        writes = [Write(COMMITS, LAST_COMMIT_KEY, fields)]
        is_heartbeat_due = self._is_heartbeat_due()
        if is_heartbeat_due:
            writes.append(
                Write(
                    CELL, HEARTBEAT_KEY, {**fields, **self.heartbeat_fields()}
                )
            )
            writes.extend(self.list_writes())
        if is_heartbeat_due or self.unrenewed.is_write_requested:
            writes.extend(self.unrenewed.start_write())
        batch = _Batch(self._sequence, ())
        batch_bytes = 0
        for job_id in list(self._dirty)[:_MAX_BATCH_JOBS]:
            job = self._dirty[job_id]
            row, size_bytes = self._dump(job)
            batch_bytes += size_bytes
            if batch.states and batch_bytes > self._settings.max_batch_bytes:
                break
            self._dirty.pop(job_id)
            writes.append(Write(PROGRESS, job_id, row))
            batch.add(job, row)
            batch.callbacks.extend(self._callbacks.pop(job_id, ()))
        free_count = _MAX_BATCH_JOBS - len(batch.states)
        for job_id in self._to_delete[:free_count]:
            writes.append(Write(PROGRESS, job_id, None))
        del self._to_delete[:free_count]
        # A job that is enqueued again keeps its place.
        self._collected_count += len(batch.states)
        while self._waiters and self._waiters[0][0] <= self._collected_count:
            batch.waiters.append(self._waiters.pop(0)[1])
        batch.writes = tuple(writes)
        return batch

    def _dump(self, job: JobRun) -> tuple[dict[str, Any], int]:
        row = dump_progress(job)
        size_bytes = measure_progress(row)
        if not self._max_row_bytes or size_bytes <= self._max_row_bytes:
            return row, size_bytes
        # The store would refuse this row, and all others with it.
        if not job.is_ended:
            log_event('job_too_large', job=job.spec.job_id, bytes=size_bytes)
            self.on_too_large(job)
        return dump_end(job), 0

    async def _commit(self, batch: _Batch) -> CommitState:
        claim = self._claim
        transaction = Transaction(
            (
                Condition(CELL, LEADER_KEY, claim.leader_version),
                Condition(COMMITS, LAST_COMMIT_KEY, claim.last_version),
            ),
            batch.writes,
        )
        while True:
            sent_at_ms = self._clock.monotonic_ms()
            outcome = await self._store.commit(transaction)
            if isinstance(outcome, Committed):
                claim.last_version = outcome.versions[0]
                self.confirmed_at_ms = sent_at_ms
                self._is_failing = False
                return CommitState.leading
            if isinstance(outcome, Conflict):
                return self._resolve_conflict(outcome, batch.sequence)
            self._log_failure(outcome)
            await asyncio.sleep(_RETRY_MS / 1000)

    def _log_failure(self, failure: Failure) -> None:
        if self._is_failing:
            return
        self._is_failing = True
        log_event(
            'commit_repeated',
            epoch=self._claim.epoch,
            kind=failure.kind,
            reason=failure.reason,
        )

    def _resolve_conflict(
        self, conflict: Conflict, sequence: int
    ) -> CommitState:
        own_fields = {'epoch': self._claim.epoch, 'number': sequence}
        for row in conflict.rows:
            is_last = row.table == COMMITS and row.key == LAST_COMMIT_KEY
            if is_last and row.value == own_fields:
                self._claim.last_version = row.version
                return CommitState.leading
        log_event('leader_deposed', epoch=self._claim.epoch)
        return CommitState.deposed


def _ignore_job(_: JobRun) -> None:
    """Ignores a job."""


__all__ = ('Claim', 'CommitLog')
