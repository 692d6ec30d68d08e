"""Attempts that a previous leader placed."""

from typing import Final, NamedTuple

from radishlift.cell.attempts import AttemptTracker
from radishlift.cell.fleet import TargetFleet
from radishlift.cell.job_table import JobTable
from radishlift.cell.leases import InheritedLeases
from radishlift.core.clock import Clock
from radishlift.core.logs import log_event
from radishlift.steps.ids import TargetId
from radishlift.steps.runs import TaskRun, TaskState
from radishlift.steps.targets import Target
from radishlift.steps.workspace_use import Charge, charge_of

# Larger than the difference of two hosts' clocks.
_MAX_CLOCK_SKEW_MS: Final = 10_000


class _Unallocated(NamedTuple):
    task: TaskRun
    charge: Charge


class InheritedAttempts:
    """Allocates attempts on their targets; ends those without a target.

    Until then they count towards the use of their workspaces. A target that was
    removed before the takeover has no entry and can't be queried. Its tasks
    have ended once its inherited lease has expired.
    """

    def __init__(
        self,
        jobs: JobTable,
        fleet: TargetFleet,
        tracker: AttemptTracker,
        leases: InheritedLeases,
        clock: Clock,
    ) -> None:
        self._jobs = jobs
        self._fleet = fleet
        self._use = fleet.workspace_use
        self._tracker = tracker
        self._leases = leases
        self._clock = clock
        self._tasks_by_target: dict[TargetId, list[_Unallocated]] = {}
        self._is_collected = False

    def collect(self) -> None:
        """Collects the placed tasks of all loaded jobs."""
        self._is_collected = True
        for job in self._jobs:
            for step in job.steps.values():
                charge = charge_of(job, step)
                for task in step.tasks:
                    if task.state is TaskState.placed:
                        self._add(task, charge)

    def allocate(self, target_id: TargetId) -> None:
        """Allocates the attempts that were placed on a target."""
        target = self._fleet.find_target(target_id)
        for task, charge in self._tasks_by_target.pop(target_id, ()):
            self._use.remove(charge)
            step = self._jobs.find_step(task.key.step_key)
            if target is not None and step is not None:
                target.allocate(
                    task.key,
                    task.attempt,
                    step.spec.allocated_amounts,
                    charge=charge,
                )
                allocation = target.allocations[task.key]
                allocation.is_inherited = True
                allocation.may_predate_process = self._may_predate(task, target)
                target.record_start(
                    task.key, task.attempt, self._clock.monotonic_ms()
                )

    def list_unrenewed_ms(self, now_ms: int) -> dict[TargetId, int]:
        """Returns how long each lease may last that is not renewed."""
        return {**self._remaining_ms(now_ms), **self._fleet.unrenewed_ms()}

    def end_expired(self, now_ms: int) -> None:
        """Ends the attempts on targets without an entry and lease."""
        for target_id, remaining_ms in self._remaining_ms(now_ms).items():
            if remaining_ms >= 0:
                continue
            for task, charge in self._tasks_by_target.pop(target_id, ()):
                self._use.remove(charge)
                log_event('task_orphaned', task=task.key, target=target_id)
                self._tracker.end_orphan(task.key, task.attempt)

    def _may_predate(self, task: TaskRun, target: Target) -> bool:
        """Returns whether a task may have been placed before a restart."""
        job = self._jobs.get(task.key.step_key.job_id)
        accepted_at_ms = 0 if job is None else job.accepted_at_ms
        return target.entry.life > accepted_at_ms - _MAX_CLOCK_SKEW_MS

    def _add(self, task: TaskRun, charge: Charge) -> None:
        self._use.add(charge)
        self._tasks_by_target.setdefault(task.target_id, []).append(
            _Unallocated(task, charge)
        )

    def _remaining_ms(self, now_ms: int) -> dict[TargetId, int]:
        # Which targets have tasks is known only once all jobs are loaded.
        target_ids = (
            tuple(self._tasks_by_target)
            if self._is_collected
            else self._leases.list_loaded()
        )
        return {
            target_id: self._leases.until_ms(target_id) - now_ms
            for target_id in target_ids
        }


__all__ = ('InheritedAttempts',)
