"""Removes jobs from memory and the store some time after their end.

The row of a job is removed before its progress. If the removal stops between
the two, the next leader deletes the progress that has no job. In the other
order it would find a job without progress and run it again. Cancels of jobs
that never arrived are kept as long, as their submissions may still arrive.
"""

import asyncio
from collections.abc import Iterable
from typing import Final, TypeVar

from radishlift.cell.cancel_table import CancelTable
from radishlift.cell.commits import CommitLog
from radishlift.cell.ended_rows import EndedRows
from radishlift.cell.job_table import JobTable
from radishlift.cell.ports import CellStore
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import (
    CANCELS,
    JOBS,
    cancel_key,
    cancelled_job,
    entry_shard,
)
from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.services.api import Condition, Conflict, Transaction, Write

Key = TypeVar('Key', bound=str)

# Two rows per job; the store accepts 100 per transaction.
_MAX_BATCH_JOBS: Final = 45


class Retention:
    """Removes ended jobs once callers may no longer query them.

    Until then it keeps their rows short.
    """

    def __init__(
        self,
        store: CellStore,
        jobs: JobTable,
        cancels: CancelTable,
        log: CommitLog,
        settings: CellSettings,
        clock: Clock,
    ) -> None:
        self._store = store
        self._jobs = jobs
        self._cancels = cancels
        self.rows = EndedRows(store, jobs)
        self._log = log
        self._settings = settings
        self._clock = clock

    async def run(self) -> None:
        """Removes jobs periodically until it is cancelled."""
        while True:
            await asyncio.sleep(self._settings.forget_every_ms / 1000)
            await self.rows.shorten()
            await self._remove_expired()

    async def _remove_expired(self) -> None:
        limit_ms = self._clock.monotonic_ms() - self._settings.forget_ended_ms
        ended = self._jobs.list_ended_before(limit_ms)
        for job_ids in _group_by_shard(ended):
            await self._remove(job_ids[:_MAX_BATCH_JOBS])
        unmatched = [
            key
            for key in self._cancels.list_seen_before(limit_ms)
            if cancelled_job(key) not in self._jobs
        ]
        for keys in _group_by_shard(unmatched):
            await self._remove_cancels(keys[:_MAX_BATCH_JOBS])

    async def _remove(self, job_ids: list[JobId]) -> None:
        writes = [
            write
            for job_id in job_ids
            for write in (
                Write(JOBS, job_id, None),
                Write(CANCELS, self._cancel_key(job_id), None),
            )
        ]
        outcome = await self._store.commit(Transaction((), tuple(writes)))
        if isinstance(outcome, Failure):
            log_event('jobs_not_removed', reason=outcome.reason)
            return
        for job_id in job_ids:
            self._jobs.remove(job_id)
            self.rows.remove(job_id)
            self._log.delete_progress(job_id)
        log_event('jobs_removed', count=len(job_ids))

    def _cancel_key(self, job_id: JobId) -> str:
        job = self._jobs.get(job_id)
        return job_id if job is None else cancel_key(job_id, job.workspace)

    async def _remove_cancels(self, keys: list[str]) -> None:
        job_ids = dict.fromkeys(map(cancelled_job, keys))
        conditions = tuple(Condition(JOBS, job_id, 0) for job_id in job_ids)
        writes = tuple(Write(CANCELS, key, None) for key in keys)
        outcome = await self._store.commit(Transaction(conditions, writes))
        if isinstance(outcome, Failure):
            log_event('cancels_not_removed', reason=outcome.reason)
            return
        if isinstance(outcome, Conflict):
            # Some have a job that this leader has not read or can't read.
            stored = {row.key for row in outcome.rows if row.version}
            for key in keys:
                if cancelled_job(key) in stored:
                    self._cancels.renew(key)
            return
        for key in keys:
            self._cancels.discard(key)


def _group_by_shard(keys: Iterable[Key]) -> list[list[Key]]:
    by_shard: dict[int, list[Key]] = {}
    for key in keys:
        by_shard.setdefault(entry_shard(key), []).append(key)
    return list(by_shard.values())


__all__ = ('Retention',)
