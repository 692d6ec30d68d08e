"""Shortens the rows of jobs that have ended.

Callers may query an ended job for minutes, and the next leader reads all rows:
without their texts and steps it can do so over a slow link as well. Rows are
shortened by shard, once those of a shard are worth a write.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Final

from radishlift.access.keys import KeyDigest
from radishlift.cell.job_rows import dump_ended_job, read_key_digest
from radishlift.cell.job_table import JobTable
from radishlift.cell.ports import CellStore
from radishlift.cell.tables import JOBS, entry_shard
from radishlift.core.errors import Failure
from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.services.api import (
    Condition,
    Conflict,
    Row,
    Transaction,
    Write,
)
from radishlift.steps.runs import JobRun

# All shards have at most 1 MB of rows that could be shorter.
_MAX_SHARD_BYTES: Final = 32_768
# A condition and a write per job; the store accepts 100 per transaction.
_MAX_BATCH_JOBS: Final = 45
# Stored form of a step, and of a job besides its text and steps.
_STEP_BYTES: Final = 400
_JOB_BYTES: Final = 300


@dataclass(frozen=True, slots=True)
class _LongRow:
    """A row with text and steps, of the job's version in the store."""

    version: int
    size_bytes: int
    key_digest: KeyDigest


class EndedRows:
    """Knows the rows of jobs, and shortens those of ended ones."""

    def __init__(self, store: CellStore, jobs: JobTable) -> None:
        self._store = store
        self._jobs = jobs
        self._long_rows: dict[JobId, _LongRow] = {}

    def add(self, row: Row, job: JobRun) -> None:
        """Adds the row of a job that was read from the store."""
        if not job.steps:
            return
        steps_bytes = _STEP_BYTES * len(job.spec.steps)
        self._long_rows[job.spec.job_id] = _LongRow(
            row.version,
            _JOB_BYTES + len(job.spec.text) + steps_bytes,
            read_key_digest(row.value or {}),
        )

    def remove(self, job_id: JobId) -> None:
        """Discards the row of a job that is removed from the store."""
        self._long_rows.pop(job_id, None)

    async def shorten(self) -> None:
        """Shortens the rows of ended jobs in shards that have many."""
        by_shard: dict[int, list[JobRun]] = defaultdict(list)
        for job_id in self._long_rows:
            job = self._jobs.get(job_id)
            if job is not None and job.is_end_stored:
                by_shard[entry_shard(job_id)].append(job)
        for jobs in by_shard.values():
            size_bytes = sum(
                self._long_rows[job.spec.job_id].size_bytes for job in jobs
            )
            if size_bytes > _MAX_SHARD_BYTES:
                await self._shorten(jobs[:_MAX_BATCH_JOBS])

    async def _shorten(self, jobs: list[JobRun]) -> None:
        conditions = []
        writes = []
        for job in jobs:
            job_id = job.spec.job_id
            row = self._long_rows[job_id]
            # A late write must not bring back the row of a removed job.
            conditions.append(Condition(JOBS, job_id, row.version))
            writes.append(
                Write(JOBS, job_id, dump_ended_job(job, row.key_digest))
            )
        transaction = Transaction(tuple(conditions), tuple(writes))
        outcome = await self._store.commit(transaction)
        if isinstance(outcome, Failure):
            log_event('jobs_not_shortened', reason=outcome.reason)
            return
        if isinstance(outcome, Conflict):
            # An earlier write without an answer has taken effect, or another
            # leader removes these jobs.
            log_event('jobs_not_shortened', reason='rows have changed')
        else:
            log_event('jobs_shortened', count=len(jobs))
        for ended in jobs:
            self.remove(ended.spec.job_id)


__all__ = ('EndedRows',)
