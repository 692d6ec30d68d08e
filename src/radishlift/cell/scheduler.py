"""A leader's work: jobs from the store, tasks to the targets.

Nothing is sent to a target before the store holds it, and no end is
acknowledged to a target before the store holds what it changed.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from radishlift.cell.commits import CommitLog
from radishlift.cell.leases import inherited_lapse_ms
from radishlift.cell.ports import (
    AdviceAnswer,
    HoldReport,
    StartOrder,
    StartVerdict,
    TargetCalls,
)
from radishlift.cell.queues import QueueConfig
from radishlift.cell.sessions import SessionContext, TargetSession
from radishlift.cell.settings import CellSettings
from radishlift.core.clock import Clock
from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.steps.asking import AdviceRequest
from radishlift.steps.endings import EndKind, apply_end
from radishlift.steps.ids import Fence, TargetId, TaskKey
from radishlift.steps.placing import Placement
from radishlift.steps.planner import Planner
from radishlift.steps.runs import (
    JobRun,
    JobState,
    StepRun,
    TaskRun,
    TaskState,
)
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import TargetEntry, TargetTable
from radishlift.steps.tickets import Ticket, TicketBook


@dataclass(frozen=True, slots=True)
class SchedulerContext:
    """What a scheduler works with for the time of its epoch."""

    fence: Fence
    calls: TargetCalls
    settings: CellSettings
    steps: StepSettings
    clock: Clock
    max_lease_ms: int


class Scheduler:
    """Jobs, targets and decisions of one leader."""

    def __init__(self, context: SchedulerContext, log: CommitLog) -> None:
        self._context = context
        self._log = log
        self._jobs: dict[JobId, JobRun] = {}
        self._targets = TargetTable()
        self._tickets = TicketBook()
        self._planner = Planner(self._targets, self._tickets, context.steps)
        self._sessions: dict[TargetId, TargetSession] = {}
        self._placed: dict[TargetId, list[tuple[TaskRun, StepRun]]] = {}
        self._wake = asyncio.Event()
        self._session_context = SessionContext(
            context.calls,
            self,
            context.settings,
            context.clock,
            context.fence,
            context.max_lease_ms,
            lambda: log.is_confirmed,
        )
        self._orphans_lapse_at_ms = inherited_lapse_ms(
            context.settings,
            context.max_lease_ms,
            context.clock.monotonic_ms(),
        )
        self.questions: asyncio.Queue[AdviceRequest] = asyncio.Queue()
        self.fenced = asyncio.Event()
        log.pulse = self.pulse

    # Jobs.

    def has_job(self, job_id: JobId) -> bool:
        """Tells whether a job is known."""
        return job_id in self._jobs

    def add_job(self, job: JobRun) -> None:
        """Takes a job from the store; a known one is left as it is."""
        job_id = job.spec.job_id
        if job_id in self._jobs:
            return
        self._jobs[job_id] = job
        self._planner.refresh(job)
        self._wake.set()

    def cancel_job(self, job_id: JobId) -> None:
        """Ends a job whose cancel is stored; its tasks are stopped."""
        job = self._jobs.get(job_id)
        if job is None or job.is_ended:
            return
        job.state = JobState.cancelled
        log_event('job_cancelled', job=job_id)
        self._note(job)
        self._stop_tasks(job)

    def index_placed(self) -> None:
        """Finds what an earlier leader placed, to be booked with targets."""
        for job in self._jobs.values():
            for step in job.steps.values():
                for task in step.tasks:
                    if task.state is TaskState.placed:
                        placed = self._placed.setdefault(task.target_id, [])
                        placed.append((task, step))

    def follow_config(self, config: QueueConfig) -> None:
        """Takes over the newest terms for jobs that have not ended."""
        for job in self._jobs.values():
            queue = config.named(job.terms.queue)
            if queue is not None and not job.is_ended:
                job.terms = queue.terms
        self._wake.set()

    # Targets.

    def update_target(self, entry: TargetEntry) -> None:
        """Takes a target's entry."""
        known = self._targets.get(entry.target_id)
        if known is not None and known.entry.state is not entry.state:
            log_event(
                'target_state',
                target=entry.target_id,
                state=entry.state,
                remaining_ms=entry.remaining_ms,
            )
        if known is None or known.entry != entry:
            self._wake.set()
        target = self._targets.update(entry)
        for task, step in self._placed.pop(entry.target_id, ()):
            target.book(task.key, task.attempt, step.spec.booked)
        if entry.target_id not in self._sessions:
            # Its clock is unknown before it has answered once.
            target.is_reachable = False
            session = TargetSession(target, self._session_context)
            self._sessions[entry.target_id] = session

    def remove_target(self, target_id: TargetId) -> None:
        """Drops a target that has left; one that fell silent may run on."""
        target = self._targets.get(target_id)
        if target is None:
            return
        target.is_listed = False
        if target.bookings and not target.entry.state.has_left_when_removed:
            return
        self._drop_target(target_id)

    def target_ids(self) -> list[TargetId]:
        """Lists the known targets."""
        return [one.entry.target_id for one in self._targets]

    def close(self) -> None:
        """Ends all conversations with targets."""
        for session in self._sessions.values():
            session.close()

    # What sessions tell.

    def on_report(self, session: TargetSession, report: HoldReport) -> None:
        """Takes a target's lists of running and ended attempts."""
        seen: set[TaskKey] = set()
        for ended in report.ended:
            seen.add(ended.key)
            self.on_started(ended.key)
            self._end(
                session, ended.key, ended.attempt, ended.how, ended.checkpoint
            )
        for running in report.running:
            seen.add(running.key)
            self.on_started(running.key)
            self._check_running(session, running.key, running.attempt)
        for key, booking in list(session.target.bookings.items()):
            is_due = not session.is_starting(key, booking.attempt)
            is_due = is_due and session.was_started_before(
                key,
                session.sent_at_ms,
            )
            if key not in seen and is_due:
                self._end(session, key, booking.attempt, EndKind.lost, '')

    def on_started(self, key: TaskKey) -> None:
        """Takes a task that a target has begun."""
        job = self._jobs.get(key.step_key.job_id)
        if job is not None:
            job.has_begun = True

    def on_not_started(
        self,
        session: TargetSession,
        key: TaskKey,
        attempt: int,
        verdict: StartVerdict,
    ) -> None:
        """Takes an attempt that surely never runs."""
        log_event(
            'start_refused',
            task=key,
            attempt=attempt,
            target=session.target_id,
            verdict=verdict,
        )
        if verdict is StartVerdict.bad_ticket:
            self._tickets.expire(key.step_key, session.target_id)
        if verdict is StartVerdict.refused:
            self._distrust(session)
        self._end(session, key, attempt, EndKind.lost, '')

    def on_lapsed(self, session: TargetSession) -> None:
        """Takes the end of all attempts of a silent target."""
        if session.target.bookings:
            log_event('target_lapsed', target=session.target_id)
        self._end_all(session.target_id)
        if not session.target.is_listed:
            self._drop_target(session.target_id)

    def on_reachable(self, session: TargetSession) -> None:
        """Takes a target that answers, or not any more."""
        self._wake.set()

    def on_fenced(self) -> None:
        """Takes the proof that a later leader gives orders."""
        self.fenced.set()

    async def committed(self) -> None:
        """Waits until all changes so far are committed."""
        await self._log.settled()

    # Advice.

    def learn_advice(
        self,
        request: AdviceRequest,
        answer: AdviceAnswer,
        received_at_ms: int,
    ) -> None:
        """Takes over tickets."""
        expires_at_ms = received_at_ms + answer.valid_ms
        self._tickets.learn(
            request.key,
            request.target_ids,
            [
                (target_id, Ticket(text, expires_at_ms))
                for target_id, text in answer.tickets
            ],
        )
        self._wake.set()

    def fail_advice(self, request: AdviceRequest) -> None:
        """Lets a question be asked again after a pause."""
        retry_ms = self._context.steps.advice_retry_ms
        now_ms = self._context.clock.monotonic_ms()
        self._tickets.fail(request.key, now_ms + retry_ms)

    # Decisions.

    async def run(self) -> None:
        """Decides whenever something has changed."""
        while True:
            try:
                async with asyncio.timeout(self._pause_ms() / 1000):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self._end_orphans()
            self._tick()
            await asyncio.sleep(self._context.settings.tick_ms / 1000)

    def pulse(self) -> dict[str, Any]:
        """Tells the other daemons what they answer from."""
        pending: dict[str, int] = {}
        for job in self._jobs.values():
            if not job.has_begun and not job.is_ended:
                queue = job.terms.queue
                pending[queue] = pending.get(queue, 0) + 1
        return {'pending': pending}

    def _pause_ms(self) -> int:
        due_ms = self._planner.next_due_ms(self._context.clock.wall_ms())
        pause_ms = self._context.settings.pulse_ms
        if due_ms is None:
            return pause_ms
        left_ms = due_ms - self._context.clock.wall_ms()
        return max(1, min(pause_ms, left_ms))

    def _tick(self) -> None:
        clock = self._context.clock
        plan = self._planner.plan(clock.monotonic_ms(), clock.wall_ms())
        for job, placement in plan.placements:
            order = self._order(job, placement)
            target_id = placement.target.entry.target_id
            session = self._sessions[target_id]
            # Until the start is sent, lists of the target can't show it.
            session.expect(order.key, order.attempt)
            self._log.note(job, _Start(self, session, job, order))
        for question in plan.questions:
            self.questions.put_nowait(question)

    def _order(self, job: JobRun, placement: Placement) -> StartOrder:
        task = placement.task
        target_id = placement.target.entry.target_id
        ticket = self._tickets.of(task.key.step_key).allowed.get(target_id)
        return StartOrder(
            task.key,
            task.attempt,
            job.spec.text,
            0,
            self._context.fence,
            task.checkpoint,
            '' if ticket is None else ticket.text,
        )

    def send_start(
        self,
        session: TargetSession,
        job: JobRun,
        order: StartOrder,
    ) -> None:
        """Sends a committed start, unless the job has ended since."""
        log_event(
            'task_started',
            task=order.key,
            attempt=order.attempt,
            target=session.target_id,
            epoch=order.fence,
        )
        if job.is_ended:
            session.unexpect(order.key)
            self._end(session, order.key, order.attempt, EndKind.lost, '')
            return
        session.start(order)

    def _note(self, job: JobRun) -> None:
        self._planner.refresh(job)
        self._log.note(job)
        self._wake.set()

    def _end(
        self,
        session: TargetSession,
        key: TaskKey,
        attempt: int,
        how: EndKind,
        checkpoint: str,
    ) -> None:
        session.target.release(key, attempt)
        session.forget(key)
        self._wake.set()
        job = self._jobs.get(key.step_key.job_id)
        if job is None or not self._is_current(job, session, key):
            return
        if not apply_end(job, key, attempt, how, checkpoint):
            return
        log_event(
            'task_ended',
            task=key,
            attempt=attempt,
            target=session.target_id,
            how=how,
        )
        self._judge(session, how)
        if job.is_ended and how is EndKind.failed:
            self._stop_tasks(job)
        elif how is not EndKind.done:
            self._stop_gang(job, key)
        if job.is_ended:
            log_event('job_ended', job=key.step_key.job_id, state=job.state)
        self._note(job)

    def _is_current(
        self,
        job: JobRun,
        session: TargetSession,
        key: TaskKey,
    ) -> bool:
        task = job.task(key)
        return task is not None and task.target_id == session.target_id

    def _judge(self, session: TargetSession, how: EndKind) -> None:
        target = session.target
        if how is EndKind.done:
            target.failures_in_row_count = 0
        elif how is EndKind.failed:
            target.failures_in_row_count += 1
            limit = self._context.steps.distrust_after_count
            if target.failures_in_row_count >= limit:
                self._distrust(session)

    def _distrust(self, session: TargetSession) -> None:
        session.target.failures_in_row_count = 0
        session.target.distrusted_until_ms = (
            self._context.clock.monotonic_ms() + self._context.steps.distrust_ms
        )
        log_event('target_distrusted', target=session.target_id)

    def _check_running(
        self,
        session: TargetSession,
        key: TaskKey,
        attempt: int,
    ) -> None:
        job = self._jobs.get(key.step_key.job_id)
        task = None if job is None else job.task(key)
        is_wanted = (
            job is not None
            and task is not None
            and not job.is_ended
            and task.state is TaskState.placed
            and task.attempt == attempt
            and task.target_id == session.target_id
        )
        if not is_wanted:
            session.stop(key, attempt)

    def _stop_tasks(self, job: JobRun) -> None:
        for task in job.all_tasks():
            if task.state is TaskState.placed:
                self._stop(task.target_id, task.key, task.attempt)

    def _stop_gang(self, job: JobRun, key: TaskKey) -> None:
        step = job.steps[key.step_key.occurrence, key.step_key.step]
        if not step.spec.is_gang:
            return
        for member in step.tasks:
            if member.state is TaskState.placed:
                self._stop(member.target_id, member.key, member.attempt)

    def _stop(self, target_id: TargetId, key: TaskKey, attempt: int) -> None:
        session = self._sessions.get(target_id)
        if session is not None:
            session.stop(key, attempt)

    def _drop_target(self, target_id: TargetId) -> None:
        log_event('target_removed', target=target_id)
        self._end_all(target_id)
        self._sessions.pop(target_id).close()
        self._targets.remove(target_id)

    def _end_all(self, target_id: TargetId) -> None:
        session = self._sessions[target_id]
        for key, booking in list(session.target.bookings.items()):
            self._end(session, key, booking.attempt, EndKind.lost, '')

    def _end_orphans(self) -> None:
        """Ends attempts on targets without an entry, once they lapsed."""
        now_ms = self._context.clock.monotonic_ms()
        if not self._placed or now_ms < self._orphans_lapse_at_ms:
            return
        for placed in self._placed.values():
            for task, _ in placed:
                job = self._jobs[task.key.step_key.job_id]
                if apply_end(job, task.key, task.attempt, EndKind.lost, ''):
                    log_event('task_orphaned', task=task.key)
                    self._stop_gang(job, task.key)
                    self._note(job)
        self._placed.clear()


@dataclass(frozen=True, slots=True)
class _Start:
    """Sends a start after its commit."""

    scheduler: Scheduler
    session: TargetSession
    job: JobRun
    order: StartOrder

    def __call__(self) -> None:
        self.scheduler.send_start(self.session, self.job, self.order)


def removed_ids(
    known: Iterable[TargetId],
    listed: Iterable[TargetId],
) -> set[TargetId]:
    """Returns the targets that a whole list does not name any more."""
    return set(known) - set(listed)


__all__ = ('Scheduler', 'SchedulerContext', 'removed_ids')
