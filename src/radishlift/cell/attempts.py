"""Applies reports of targets about attempts to tasks and jobs."""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from typing import Final

from radishlift.cell.crashes import CrashHandler
from radishlift.cell.fleet import TargetFleet
from radishlift.cell.job_table import JobTable
from radishlift.cell.outdated_attempts import (
    allocate_outdated,
    log_outdated,
)
from radishlift.cell.ports import (
    EndedAttempt,
    HoldReport,
    StartVerdict,
)
from radishlift.cell.run_times import RunTimes
from radishlift.cell.session_context import StopEvidence
from radishlift.cell.sessions import TargetSession
from radishlift.core.clock import Clock
from radishlift.core.logs import log_event
from radishlift.steps.crashes import lost_end_kind
from radishlift.steps.endings import EndKind, apply_end
from radishlift.steps.ids import TaskKey
from radishlift.steps.runs import JobRun, TaskState
from radishlift.steps.speeds import SpeedTable
from radishlift.steps.tickets import TicketTable

_FAILURE_KINDS: Final = frozenset((EndKind.failed, EndKind.crashed_alone))


class AttemptTracker:
    """Handles the events of the sessions with all targets.

    `is_over` is set once the term must end, because a target has a later leader
    or a session has failed.
    """

    def __init__(
        self,
        jobs: JobTable,
        fleet: TargetFleet,
        tickets: TicketTable,
        clock: Clock,
        notify_scheduler: Callable[[], None],
        wait_committed: Callable[[], Awaitable[None]],
        speeds: SpeedTable,
    ) -> None:
        self._jobs = jobs
        self._fleet = fleet
        self._crashes = CrashHandler(jobs, fleet, clock)
        self._tickets = tickets
        self._clock = clock
        self._notify_scheduler = notify_scheduler
        self._wait_committed = wait_committed
        self._run_times = RunTimes(speeds, clock)
        self.is_over = asyncio.Event()

    def end_orphan(self, key: TaskKey, attempt: int) -> None:
        """Ends an attempt whose target has no entry.

        The target may have crashed, and nothing tells which task caused it.
        """
        job = self._jobs.get(key.step_key.job_id)
        ended = EndedAttempt(0, key, attempt, EndKind.maybe_crashed)
        if job is not None and _apply_end(job, ended):
            self._handle_end(job, ended)

    def on_report(self, session: TargetSession, report: HoldReport) -> None:
        """Applies a target's lists of running and ended attempts."""
        for ended in report.ended:
            self.on_started(ended.key)
            if ended.kind is EndKind.done:
                job = self._jobs.get(ended.key.step_key.job_id)
                log_outdated(job, session, ended, 'done')
            self._end_attempt(session, ended)
        for running in report.running:
            self.on_started(running.key)
            job = self._jobs.get(running.key.step_key.job_id)
            log_outdated(job, session, running, 'running')
            if not is_current(job, session, running.key, running.attempt):
                session.stop(running.key, running.attempt)
                allocate_outdated(job, session, running)
            # An earlier process may have crashed without this attempt.
            session.target.clear_suspicion(running.key, running.attempt)
            if job is not None:
                self._crashes.clear_inherited(
                    job, session.target, running.key, running.attempt
                )
        for key, attempt in session.listing.list_missing(
            report, session.list_requested_at_ms
        ):
            self.end_unstarted(session, key, attempt)
        if session.target.is_watched:
            self._notify_scheduler()

    def on_started(self, key: TaskKey) -> None:
        """Marks the job of a task that a target has started."""
        job = self._jobs.get(key.step_key.job_id)
        if job is not None:
            job.has_started = True

    def on_not_started(
        self,
        session: TargetSession,
        key: TaskKey,
        attempt: int,
        verdict: StartVerdict,
    ) -> None:
        """Ends an attempt that is confirmed not to run."""
        log_event(
            'start_refused',
            task=key,
            attempt=attempt,
            target=session.target_id,
            verdict=verdict,
        )
        if verdict is StartVerdict.bad_ticket:
            self._tickets.expire_ticket(key.step_key, session.target_id)
        if verdict is StartVerdict.refused:
            self._fleet.start_cooldown(
                session.target, self._clock.monotonic_ms()
            )
        self.end_unstarted(session, key, attempt)

    def end_unstarted(
        self,
        session: TargetSession,
        key: TaskKey,
        attempt: int,
    ) -> None:
        """Ends an attempt that the target does not run."""
        kind = lost_end_kind(session.target, key, attempt)
        self._end_attempt(session, EndedAttempt(0, key, attempt, kind))

    def on_crashed(self, session: TargetSession, *, is_proven: bool) -> None:
        """Marks the attempts that may have crashed a target."""
        self._crashes.record_crash(session.target, is_proven=is_proven)

    def on_stopped(
        self,
        session: TargetSession,
        evidence: StopEvidence,
        kept: Collection[TaskKey] = (),
    ) -> None:
        """Ends the attempts of a target; removes it if it is unlisted.

        A new process of the target may still start the tasks that are `kept`.
        """
        if session.target.allocations:
            log_event(
                'target_lapsed',
                target=session.target_id,
                evidence=evidence,
                lease_ms=session.lease.remaining_ms(self._clock.monotonic_ms()),
                is_listed=session.target.is_listed,
                kept_count=len(kept),
            )
        self.end_all_attempts(session, kept)
        if not session.target.is_listed:
            self._fleet.remove(session.target_id)

    def on_reachability_changed(self, session: TargetSession) -> None:
        """Notifies the scheduler that a target's reachability changed."""
        if not session.target.is_reachable:
            self._crashes.record_loss(session.target)
        self._notify_scheduler()

    def end_term(self) -> None:
        """Ends the term, as there is a later leader or a session has failed."""
        self.is_over.set()

    async def wait_committed(self, timeout_ms: int) -> bool:
        """Waits until all earlier changes are committed.

        Returns False if the commit took longer than `timeout_ms`.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._wait_committed()
        except TimeoutError:
            return False
        return True

    def end_all_attempts(
        self, session: TargetSession, kept: Collection[TaskKey] = ()
    ) -> None:
        """Ends all attempts of a target that runs none of them any more."""
        for key, allocation in list(session.target.allocations.items()):
            if key in kept:
                continue
            self.end_unstarted(session, key, allocation.attempt)

    def stop_tasks(self, job: JobRun) -> None:
        """Stops all placed tasks of a job."""
        for task in job.all_tasks():
            if task.state is TaskState.placed:
                self._fleet.stop(task.target_id, task.key, task.attempt)

    def _end_attempt(self, session: TargetSession, ended: EndedAttempt) -> None:
        has_survived = self._crashes.has_survived(
            session.target, ended.key, ended.attempt
        )
        job = self._jobs.get(ended.key.step_key.job_id)
        task = None if job is None else job.find_task(ended.key)
        if job is not None and task is not None:
            self._run_times.record_end(session.target, job, task, ended)
        allocation = session.target.allocations.get(ended.key)
        session.target.release(ended.key, ended.attempt)
        session.listing.forget(ended.key, ended.attempt)
        self._notify_scheduler()
        if job is None or task is None:
            return
        if task.target_id != session.target_id or not _apply_end(job, ended):
            return
        if has_survived:
            task.clear_crashes()
        log_event(
            'task_ended',
            task=ended.key,
            attempt=ended.attempt,
            target=session.target_id,
            how=ended.kind,
        )
        if ended.kind in {EndKind.done, EndKind.failed}:
            self._fleet.record_outcome(
                session.target,
                self._clock.monotonic_ms(),
                is_failure=ended.kind is EndKind.failed,
            )
        self._crashes.apply_end(job, task, ended, allocation)
        self._handle_end(job, ended)

    def _handle_end(self, job: JobRun, ended: EndedAttempt) -> None:
        if job.is_ended:
            log_event('job_ended', job=job.spec.job_id, state=job.state)
        if ended.kind is not EndKind.done:
            self._stop_gang(job, ended.key)
        if job.is_ended and ended.kind in _FAILURE_KINDS:
            self.stop_tasks(job)
        self._jobs.save(job)

    def _stop_gang(self, job: JobRun, key: TaskKey) -> None:
        step = self._jobs.find_step(key.step_key)
        if step is None or not step.spec.is_gang:
            return
        for member in step.tasks:
            if member.state is TaskState.placed:
                self._fleet.stop(member.target_id, member.key, member.attempt)


def is_current(
    job: JobRun | None,
    session: TargetSession,
    key: TaskKey,
    attempt: int,
) -> bool:
    """Returns whether a task that may run has this attempt on a target."""
    task = None if job is None else job.find_task(key)
    if job is None or task is None or job.is_ended:
        return False
    current = TaskState.placed, attempt, session.target_id
    return (task.state, task.attempt, task.target_id) == current


def _apply_end(job: JobRun, ended: EndedAttempt) -> bool:
    return apply_end(
        job,
        ended.key,
        ended.attempt,
        ended.kind,
        ended.checkpoint,
    )


__all__ = ('AttemptTracker', 'is_current')
