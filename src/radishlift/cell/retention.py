"""Removes jobs from memory and the store some time after their end.

The row of a job is removed before its progress. If the removal stops between
the two, the next leader deletes the progress that has no job. In the other
order it would find a job without progress and run it again.
"""

import asyncio
from typing import Final

from radishlift.cell.commits import CommitLog
from radishlift.cell.job_table import JobTable
from radishlift.cell.ports import CellStore
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import CANCELS, JOBS, entry_shard
from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.services.api import Transaction, Write

# Two rows per job; the store accepts 100 per transaction.
_MAX_BATCH_JOBS: Final = 45


class Retention:
    """Removes ended jobs once callers may no longer query them."""

    def __init__(
        self,
        store: CellStore,
        jobs: JobTable,
        log: CommitLog,
        settings: CellSettings,
        clock: Clock,
    ) -> None:
        self._store = store
        self._jobs = jobs
        self._log = log
        self._settings = settings
        self._clock = clock

    async def run(self) -> None:
        """Removes jobs periodically until it is cancelled."""
        while True:
            await asyncio.sleep(self._settings.forget_every_ms / 1000)
            await self._remove_expired()

    async def _remove_expired(self) -> None:
        limit_ms = self._clock.monotonic_ms() - self._settings.forget_ended_ms
        by_shard: dict[int, list[JobId]] = {}
        for job_id in self._jobs.list_ended_before(limit_ms):
            by_shard.setdefault(entry_shard(job_id), []).append(job_id)
        for job_ids in by_shard.values():
            await self._remove(job_ids[:_MAX_BATCH_JOBS])

    async def _remove(self, job_ids: list[JobId]) -> None:
        writes = [
            Write(table, job_id, None)
            for job_id in job_ids
            for table in (JOBS, CANCELS)
        ]
        outcome = await self._store.commit(Transaction((), tuple(writes)))
        if isinstance(outcome, Failure):
            log_event('jobs_not_removed', reason=outcome.reason)
            return
        for job_id in job_ids:
            self._jobs.remove(job_id)
            self._log.delete_progress(job_id)
        log_event('jobs_removed', count=len(job_ids))


__all__ = ('Retention',)
