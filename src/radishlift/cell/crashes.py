"""Applies crashes of targets to the tasks that may have caused them."""

from radishlift.cell.fleet import TargetFleet
from radishlift.cell.job_table import JobTable
from radishlift.cell.ports import EndedAttempt
from radishlift.core.clock import Clock
from radishlift.core.logs import log_event
from radishlift.steps.crash_rate import CrashRate
from radishlift.steps.crashes import (
    CRASH_KINDS,
    give_up_repeated,
    is_cleared,
    is_quiet,
    mark_suspects,
)
from radishlift.steps.ids import TaskKey
from radishlift.steps.runs import JobRun, TaskRun
from radishlift.steps.targets import Allocation, Target, TargetState


class CrashHandler:
    """Marks the suspects of crashes, and gives up tasks that repeat them."""

    def __init__(
        self, jobs: JobTable, fleet: TargetFleet, clock: Clock
    ) -> None:
        self._jobs = jobs
        self._fleet = fleet
        self._settings = fleet.settings
        self._clock = clock
        self._rate = CrashRate(fleet.settings, clock.monotonic_ms())

    def record_loss(self, target: Target) -> None:
        """Records that a target has become unreachable.

        It may turn out only later whether its process has ended, and a time-out
        says nothing about that.
        """
        is_used = bool(target.allocations) and not target.has_timed_out
        if is_used and is_quiet(target, self._settings):
            self._rate.record(self._clock.monotonic_ms())

    def record_crash(self, target: Target, *, is_proven: bool) -> None:
        """Marks the attempts that may have crashed a target.

        A draining target was about to end, so that nothing is suspected.
        Without proof that its process has ended nothing is attributed.
        """
        is_draining = target.entry.state is TargetState.draining
        if is_draining or not target.allocations:
            return
        suspects = mark_suspects(
            target,
            self._list_gang_members(target),
            self._settings,
            is_proven=is_proven,
        )
        if is_proven and target.has_timed_out and not suspects:
            self._rate.record(self._clock.monotonic_ms())
        log_event(
            'target_crashed',
            target=target.entry.target_id,
            attempts_count=len(target.allocations),
            suspects_count=len(suspects),
            process=target.process,
            is_proven=is_proven,
            has_timed_out=target.has_timed_out,
        )

    def has_survived(self, target: Target, key: TaskKey, attempt: int) -> bool:
        """Returns whether a target survived the start of an attempt."""
        allocation = target.allocations.get(key)
        return (
            allocation is not None
            and allocation.attempt == attempt
            and is_cleared(target, allocation, self._settings)
        )

    def apply_end(
        self,
        job: JobRun,
        task: TaskRun,
        ended: EndedAttempt,
        allocation: Allocation | None,
    ) -> None:
        """Gives up a task that has crashed targets repeatedly.

        `allocation` is that of the attempt on its target, if there was one.
        """
        if ended.kind not in CRASH_KINDS:
            return
        crash = allocation.crash if allocation else None
        log_event(
            'task_suspected',
            task=task.key,
            attempt=ended.attempt,
            how=ended.kind,
            crashes_count=task.crashes_count,
            confirmed_count=task.confirmed_crashes_count,
            process=crash and crash.process,
            delay_ms=crash and crash.delay_ms,
            suspects_count=crash and crash.suspects_count,
            is_answered=allocation is not None and allocation.is_confirmed,
        )
        required_count = self._rate.required_count(
            self._clock.monotonic_ms(), len(self._fleet)
        )
        if give_up_repeated(
            job, task, ended.kind, self._settings, required_count
        ):
            log_event(
                'task_given_up',
                task=task.key,
                crashes_count=task.crashes_count,
                required_count=required_count,
            )

    def clear_inherited(
        self,
        job: JobRun,
        target: Target,
        key: TaskKey,
        attempt: int,
    ) -> None:
        """Clears a suspect that an earlier leader started, if it survived.

        Trials of this leader don't know its attempt.
        """
        task = job.find_task(key)
        allocation = target.allocations.get(key)
        if task is None or allocation is None:
            return
        is_current = allocation.attempt == task.attempt == attempt
        if not task.crashes_count or not is_current:
            return
        if not allocation.is_inherited:
            return
        if is_cleared(target, allocation, self._settings):
            task.clear_crashes()
            self._jobs.save(job)

    def _list_gang_members(self, target: Target) -> set[TaskKey]:
        steps = {
            key: self._jobs.find_step(key.step_key)
            for key in target.allocations
        }
        return {
            key
            for key, step in steps.items()
            if step is not None and step.spec.is_gang
        }


__all__ = ('CrashHandler',)
