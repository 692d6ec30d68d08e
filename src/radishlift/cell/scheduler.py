"""Schedules the tasks of stored jobs on targets.

A start is sent to a target only after it is committed to the store. The end
of an attempt is acknowledged only after its effects are committed.
"""

import asyncio
from dataclasses import dataclass

from radishlift.cell.attempts import AttemptTracker, is_current
from radishlift.cell.commits import CommitLog
from radishlift.cell.fleet import TargetFleet
from radishlift.cell.inherited_attempts import InheritedAttempts
from radishlift.cell.job_table import JobTable
from radishlift.cell.leases import InheritedLeases, inherited_expiry_ms
from radishlift.cell.pending_advice import PendingAdvice
from radishlift.cell.planning_log import PlanningLog
from radishlift.cell.ports import StartOrder
from radishlift.cell.queues import QueueConfig
from radishlift.cell.scheduler_context import SchedulerContext
from radishlift.cell.session_context import SessionContext
from radishlift.cell.sessions import TargetSession
from radishlift.cell.sliced_planning import plan_in_slices
from radishlift.cell.stored_speeds import StoredSpeeds
from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.steps.placing import Placement
from radishlift.steps.planner import Planner
from radishlift.steps.runs import JobRun, JobState
from radishlift.steps.targets import TargetEntry, TargetTable
from radishlift.steps.tickets import TicketTable


class Scheduler:
    """Jobs, targets and placement decisions of one leader."""

    def __init__(self, context: SchedulerContext, log: CommitLog) -> None:
        self._context = context
        targets = TargetTable()
        self._tickets = TicketTable()
        self._planner = Planner(targets, self._tickets, context.step_settings)
        self._has_changed = asyncio.Event()
        self.jobs = JobTable(self._planner, log, context.clock)
        self.fleet = TargetFleet(
            targets,
            context.step_settings,
            context.settings,
            context.target_heartbeat_ms,
        )
        self.attempts = AttemptTracker(
            self.jobs,
            self.fleet,
            self._tickets,
            context.clock,
            self._has_changed.set,
            log.wait_committed,
            self._planner.speeds,
        )
        self.inherited_leases = InheritedLeases(
            inherited_expiry_ms(
                context.settings,
                context.max_lease_ms,
                context.clock.monotonic_ms(),
            )
        )
        self.inherited = InheritedAttempts(
            self.jobs,
            self.fleet,
            self.attempts,
            self.inherited_leases,
            context.clock,
        )
        self._session_context = SessionContext(
            context.calls,
            self.attempts,
            context.settings,
            context.clock,
            context.fencing_token,
            context.max_lease_ms,
            self.inherited_leases,
            log.unrenewed,
            lambda: log.is_confirmed,
            lambda: log.is_lead_undisputed,
        )
        self.pending_advice = PendingAdvice(
            self._planner,
            self._tickets,
            context.step_settings,
            context.clock,
            self._has_changed.set,
        )
        log.on_too_large = self._end_too_large
        self._planning_log = PlanningLog(
            self._planner,
            self._tickets,
            context.settings,
            context.step_settings,
            lambda: self.pending_advice.queued_count,
        )
        self.stored_speeds = StoredSpeeds(self._planner, targets, context.clock)
        log.list_writes = self.stored_speeds.list_writes
        log.heartbeat_fields = self.jobs.heartbeat_fields
        log.unrenewed.list_remaining_ms = lambda: (
            self.inherited.list_unrenewed_ms(context.clock.monotonic_ms())
        )

    def add_job(self, job: JobRun) -> None:
        """Adds a job that is in the store; ignores known jobs."""
        self.jobs.add(job)
        self._has_changed.set()

    def cancel_job(self, job_id: JobId) -> None:
        """Ends a job whose cancel is stored, and stops its tasks."""
        job = self.jobs.get(job_id)
        if job is not None and not job.is_ended:
            self.jobs.end_job(job, JobState.cancelled)
            self.attempts.stop_tasks(job)

    def apply_config(self, config: QueueConfig) -> None:
        """Applies the latest terms to jobs that have not ended."""
        self.jobs.apply_config(config)
        self._planner.limits.update_terms(
            config.workspace_terms(), self.jobs.open_workspaces()
        )
        self._has_changed.set()

    def update_target(self, entry: TargetEntry) -> None:
        """Adds or updates a target."""
        if self.fleet.update(entry, self._session_context):
            self._has_changed.set()
        self.inherited.allocate(entry.target_id)

    def close(self) -> None:
        """Closes all sessions with targets."""
        self.fleet.close()

    async def run(self) -> None:
        """Runs a tick on each change, and when steps become due."""
        while True:
            try:
                async with asyncio.timeout(self._wait_ms() / 1000):
                    await self._has_changed.wait()
            except TimeoutError:
                # Steps may be due now, and advice requests may be repeated.
                self._has_changed.clear()
            self._has_changed.clear()
            await self._tick()
            await asyncio.sleep(self._context.settings.tick_ms / 1000)

    def send_start(
        self,
        session: TargetSession,
        order: StartOrder,
    ) -> None:
        """Sends a committed start if it is still valid.

        Job and attempt may have ended during the commit, the target may be
        lost or have less capacity, and the workspace's limit may be lower.
        """
        job = self.jobs.get(order.key.step_key.job_id)
        is_valid = is_current(job, session, order.key, order.attempt)
        now_ms = self._context.clock.monotonic_ms()
        may_start = (
            session.target.is_reachable
            and self.fleet.may_start(session.target, now_ms)
            and self._is_within_limit(order)
        )
        if not is_valid or not may_start:
            session.listing.cancel_start(order.key, order.attempt)
            self.attempts.end_unstarted(session, order.key, order.attempt)
            return
        log_event(
            'task_started',
            task=order.key,
            attempt=order.attempt,
            target=session.target_id,
            epoch=order.fencing_token,
        )
        session.start(order)

    def _end_too_large(self, job: JobRun) -> None:
        job.reason = 'its progress does not fit in a row of the store'
        self.jobs.end_job(job, JobState.failed)
        self.attempts.stop_tasks(job)

    def _is_within_limit(self, order: StartOrder) -> bool:
        """Returns whether a limit lowered meanwhile still allows a start."""
        job = self.jobs.get(order.key.step_key.job_id)
        step = self.jobs.find_step(order.key.step_key)
        if job is None or step is None:
            return False
        return self._planner.limits.may_still_start(job, step)

    def _wait_ms(self) -> int:
        wall_ms = self._context.clock.wall_ms()
        pause_ms = self._context.settings.pulse_ms
        due_ms = self._planner.next_due_ms(wall_ms)
        if due_ms is None:
            return pause_ms
        return max(1, min(pause_ms, due_ms - wall_ms))

    async def _tick(self) -> None:
        clock = self._context.clock
        now_ms = clock.monotonic_ms()
        self.inherited.end_expired(now_ms)
        if not self.fleet.has_recent_entries(now_ms):
            return
        plan = await plan_in_slices(
            self._planner, self._context.settings, clock, self._commit_start
        )
        for job in plan.cleared:
            self.jobs.save(job)
        self.pending_advice.add(plan.advice_requests)
        self._planning_log.log_tick(now_ms)

    def _commit_start(self, job: JobRun, placement: Placement) -> None:
        session = self.fleet.find_session(placement.target.entry.target_id)
        if session is None:
            return
        order = self._build_order(job, placement)
        # Lists of the target can't contain the attempt before it is sent.
        session.listing.expect_start(order.key, order.attempt)
        self.jobs.save(job, _SendStart(self, session, order))

    def _build_order(self, job: JobRun, placement: Placement) -> StartOrder:
        task = placement.task
        target_id = placement.target.entry.target_id
        ticket = self._tickets.advice_for(task.key.step_key).allowed.get(
            target_id
        )
        return StartOrder(
            task.key,
            task.attempt,
            job.spec.text,
            0,
            self._context.fencing_token,
            task.checkpoint,
            '' if ticket is None else ticket.text,
        )


@dataclass(frozen=True, slots=True)
class _SendStart:
    """Callback that sends a start after its commit."""

    scheduler: Scheduler
    session: TargetSession
    order: StartOrder

    def __call__(self) -> None:
        self.scheduler.send_start(self.session, self.order)


__all__ = ('Scheduler', 'SchedulerContext')
