"""One term of a leader: restores the state, then schedules until its end."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

from radishlift.cell.advice_dispatch import AdviceDispatcher
from radishlift.cell.cancel_table import CancelTable
from radishlift.cell.commits import Claim, CommitLog
from radishlift.cell.job_rows import load_job
from radishlift.cell.leader_dependencies import LeaderDependencies
from radishlift.cell.ports import PartialSnapshot
from radishlift.cell.queues import QueueConfig
from radishlift.cell.retention import Retention
from radishlift.cell.scheduler import Scheduler, SchedulerContext
from radishlift.cell.table_follower import FollowedTable, TableFollower
from radishlift.cell.tables import (
    CANCELS,
    COMMITS,
    JOBS,
    PROGRESS,
    SPEEDS_KEY,
    TARGETS,
    UNRENEWED_KEY,
    cancelled_job,
)
from radishlift.cell.target_entries import TargetEntries
from radishlift.cell.unrenewed_leases import load_remaining_ms
from radishlift.cell.work_watch import WorkWatch
from radishlift.core.errors import Failure
from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.core.slices import TimeSlices
from radishlift.services.api import Row
from radishlift.steps.progress import load_progress
from radishlift.steps.runs import JobRun

_DECODE_ERRORS: Final = (
    ArithmeticError,
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
)


class LeaderTerm:
    """The period for which a daemon leads, and its work in this period.

    `is_abandoned` is whether it ended because the daemon could not do the work.
    """

    def __init__(self, claim: Claim, dependencies: LeaderDependencies) -> None:
        self.claim = claim
        self._dependencies = dependencies
        self._log = CommitLog(
            dependencies.store,
            claim,
            dependencies.settings,
            dependencies.clock,
            dependencies.max_row_bytes,
        )
        self.scheduler = Scheduler(
            SchedulerContext(
                claim.epoch,
                dependencies.calls,
                dependencies.settings,
                dependencies.step_settings,
                dependencies.clock,
                dependencies.max_lease_ms,
                dependencies.target_heartbeat_ms,
            ),
            self._log,
        )
        self._entries = TargetEntries(
            self.scheduler, dependencies.decode_target, dependencies.clock
        )
        self._progress: dict[JobId, Row] = {}
        self._advice_dispatcher = AdviceDispatcher(
            dependencies.network,
            self.scheduler.pending_advice,
            dependencies.list_daemons,
            dependencies.clock,
        )
        self._cancels = CancelTable(dependencies.clock)
        self._retention = Retention(
            dependencies.store,
            self.scheduler.jobs,
            self._cancels,
            self._log,
            dependencies.settings,
            dependencies.clock,
        )
        self._watch = WorkWatch(
            self._log,
            self.scheduler.fleet,
            dependencies.settings,
            dependencies.clock,
            claim.abandoned_count,
        )
        self.is_abandoned = False
        self._unread_rows: deque[Row] = deque()
        self._has_rows = asyncio.Event()
        self._has_jobs = asyncio.Event()
        self._has_targets = asyncio.Event()
        self._has_cancels = asyncio.Event()

    async def run(self) -> None:
        """Leads until it is deposed or cancelled, or can't do its work."""
        started_at_ms = self._dependencies.clock.monotonic_ms()
        self._log.unrenewed.begin_load()
        self.scheduler.jobs.begin_load(self._dependencies.get_heartbeat())
        try:
            async with asyncio.TaskGroup() as group:
                watching = group.create_task(self._watch.run())
                ends = (
                    group.create_task(self._log.run()),
                    group.create_task(self.scheduler.attempts.is_over.wait()),
                    watching,
                )
                work = group.create_task(self._work(started_at_ms))
                await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
                self.is_abandoned = watching.done()
                for task in (*ends, work):
                    task.cancel()
        finally:
            self.scheduler.close()
            self._advice_dispatcher.close()

    def apply_config(self, config: QueueConfig) -> None:
        """Applies the latest configuration."""
        self.scheduler.apply_config(config)

    async def _work(self, started_at_ms: int) -> None:
        await self._read_progress()
        await self._read_unrenewed()
        log_event(
            'term_begun',
            epoch=self.claim.epoch,
            progress_rows=len(self._progress),
            took_ms=self._dependencies.clock.monotonic_ms() - started_at_ms,
        )
        async with asyncio.TaskGroup() as group:
            for work in (
                self._follow(JOBS, self._on_jobs, self._on_jobs),
                self._add_jobs(),
                self._follow(
                    CANCELS, self._on_cancel_snapshot, self._on_cancels
                ),
                self._follow_targets(),
                self._advice_dispatcher.run(),
                self._retention.run(),
                self._read_speeds(),
                self._schedule(),
            ):
                group.create_task(work)

    async def _follow_targets(self) -> None:
        # Running tasks of targets can be checked only once all jobs are loaded.
        await self._has_jobs.wait()
        # No task of a job may start whose cancel is not yet known.
        await self._has_cancels.wait()
        self.scheduler.inherited.collect()
        for job_id in self._progress:
            self._log.delete_progress(job_id)
        self._progress.clear()
        await self._follow(
            TARGETS,
            self._on_target_snapshot,
            self._entries.update,
            self._dependencies.settings.feed_gap_ms,
        )

    async def _schedule(self) -> None:
        await self._has_targets.wait()
        self._watch.end_load()
        # Limits of workspaces must be known before the first start.
        config = self._dependencies.get_config()
        if config is not None:
            self.apply_config(config)
        await self.scheduler.run()

    async def _read_progress(self) -> None:
        partial = PartialSnapshot()
        self._watch.add_read(PROGRESS, lambda: partial.pages_count)
        while True:
            snapshot = await self._dependencies.store.snapshot(
                PROGRESS, partial
            )
            if not isinstance(snapshot, Failure):
                break
            log_event('progress_unread', reason=snapshot.reason)
            await asyncio.sleep(
                self._dependencies.settings.feed_retry_ms / 1000
            )
        self._watch.remove_read(PROGRESS)
        self._progress = {JobId(row.key): row for row in snapshot.rows}

    async def _read_unrenewed(self) -> None:
        dependencies = self._dependencies
        while True:
            row = await dependencies.store.read(COMMITS, UNRENEWED_KEY)
            if not isinstance(row, Failure):
                break
            log_event('unrenewed_unread', reason=row.reason)
            await asyncio.sleep(dependencies.settings.feed_retry_ms / 1000)
        try:
            remaining_ms = load_remaining_ms(row, self.claim.epoch)
        except _DECODE_ERRORS as error:
            log_event('bad_unrenewed_row', reason=repr(error))
            self._log.unrenewed.load(())
            return
        self._log.unrenewed.load(remaining_ms)
        self.scheduler.inherited_leases.load(
            remaining_ms, dependencies.clock.monotonic_ms()
        )

    async def _read_speeds(self) -> None:
        """Reads the speeds that the previous leader has learned.

        Scheduling does not wait for them.
        """
        row = await self._dependencies.store.read(COMMITS, SPEEDS_KEY)
        if isinstance(row, Failure):
            log_event('speeds_unread', reason=row.reason)
            self.scheduler.stored_speeds.load(None)
            return
        try:
            self.scheduler.stored_speeds.load(row)
        except _DECODE_ERRORS as error:
            log_event('bad_speeds_row', reason=repr(error))

    async def _follow(
        self,
        table: str,
        on_snapshot: Callable[[tuple[Row, ...]], None],
        on_changes: Callable[[tuple[Row, ...]], None],
        pause_ms: int = 0,
    ) -> None:
        dependencies = self._dependencies
        follower = TableFollower(
            dependencies.store,
            FollowedTable(table, pause_ms),
            dependencies.settings,
            dependencies.clock,
        )
        if table == TARGETS:
            follower.on_read = self.scheduler.fleet.record_read
            follower.on_regained = self.scheduler.fleet.record_outage
        self._watch.add_read(table, lambda: follower.progress)
        await follower.run(on_snapshot, on_changes)

    def _on_jobs(self, rows: tuple[Row, ...]) -> None:
        self._unread_rows.extend(rows)
        self._has_rows.set()

    async def _add_jobs(self) -> None:
        """Adds the jobs of rows that were read, in slices."""
        while True:
            await self._has_rows.wait()
            self._has_rows.clear()
            slices = TimeSlices(self._dependencies.settings.slice_ms)
            while self._unread_rows:
                row = self._unread_rows.popleft()
                self._add_job(JobId(row.key), row)
                if slices.is_over:
                    await slices.pause()
            if not self._has_jobs.is_set():
                self.scheduler.jobs.end_load()
                self._has_jobs.set()

    def _add_job(self, job_id: JobId, row: Row) -> None:
        jobs = self.scheduler.jobs
        # Without its progress a job that was removed would run again.
        is_known = job_id in jobs or job_id in jobs.removed
        if is_known or row.value is None:
            return
        # Progress that remains here belongs to no job and is deleted.
        progress = self._progress.pop(job_id, None)
        job = load_job(row.value)
        if isinstance(job, Failure):
            log_event('bad_job_row', job=job_id, reason=job.reason)
            return
        if progress is not None and not _load_progress(job, progress):
            return
        config = self._dependencies.get_config()
        queue = None if config is None else config.find_by_name(job.terms.queue)
        if queue is not None:
            job.terms = queue.terms
        self.scheduler.add_job(job)
        self._retention.rows.add(row, job)
        if self._cancels.has(job):
            self.scheduler.cancel_job(job_id)

    def _on_cancel_snapshot(self, rows: tuple[Row, ...]) -> None:
        self._on_cancels(rows)
        self._has_cancels.set()

    def _on_cancels(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.value is None:
                self._cancels.discard(row.key)
                continue
            self._cancels.add(row.key)
            job_id = cancelled_job(row.key)
            job = self.scheduler.jobs.get(job_id)
            if job is not None and self._cancels.has(job):
                self.scheduler.cancel_job(job_id)

    def _on_target_snapshot(self, rows: tuple[Row, ...]) -> None:
        self._entries.replace(rows)
        self._has_targets.set()


def _load_progress(job: JobRun, progress: Row) -> bool:
    """Restores a job's progress; returns False if its row is invalid.

    Such a job must not be scheduled: without its progress it would run again.
    """
    try:
        load_progress(job, progress.value or {})
    except _DECODE_ERRORS as error:
        log_event('bad_progress_row', job=progress.key, reason=repr(error))
        return False
    return True


__all__ = ('LeaderDependencies', 'LeaderTerm')
