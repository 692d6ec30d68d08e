"""Measures run times of attempts, from which the speeds are learned."""

from radishlift.cell.ports import EndedAttempt
from radishlift.core.clock import Clock
from radishlift.steps.endings import EndKind
from radishlift.steps.runs import JobRun, StepRun, TaskRun
from radishlift.steps.speeds import SpeedTable
from radishlift.steps.step_run_times import TaskRunTime
from radishlift.steps.targets import Target


class RunTimes:
    """Passes run times on that tell how fast a target is.

    A run time is from the answer to the start call until the end is listed. It
    tells nothing if the start time is unknown, if the attempt resumed from a
    checkpoint, if its data is on another rack, or if it waited for others: a
    gang ends with its slowest member, and tasks on leftovers give way.
    """

    def __init__(self, speeds: SpeedTable, clock: Clock) -> None:
        self._speeds = speeds
        self._clock = clock

    def record_end(
        self, target: Target, job: JobRun, task: TaskRun, ended: EndedAttempt
    ) -> None:
        """Records an end that is not applied yet, if it tells a run time."""
        allocation = target.allocations.get(ended.key)
        step_key = ended.key.step_key
        step = job.steps[step_key.occurrence, step_key.step]
        if ended.kind is not EndKind.done or task.checkpoint:
            return
        if allocation is None or allocation.attempt != ended.attempt:
            return
        if allocation.started_at_ms is None or not _is_comparable(step, target):
            return
        now_ms = self._clock.monotonic_ms()
        run_time = TaskRunTime(
            step_key,
            job.terms.queue,
            step.spec.tasks_count,
            step.spec.estimate_ms,
            now_ms - allocation.started_at_ms,
        )
        self._speeds.observe(target.entry, run_time, now_ms)


def _is_comparable(step: StepRun, target: Target) -> bool:
    spec = step.spec
    is_shared = spec.is_gang or spec.is_long_running or spec.uses_leftovers
    is_near = not spec.data_rack or spec.data_rack in target.entry.labels
    return is_near and not is_shared


__all__ = ('RunTimes',)
