"""Applies the end of an attempt to its task, step and job."""

from collections.abc import Callable
from enum import Enum, unique
from typing import Final

from radishlift.core.registry import Registry
from radishlift.steps.ids import TargetId, TaskKey
from radishlift.steps.runs import (
    JobRun,
    JobState,
    StepRun,
    TaskRun,
    TaskState,
    unblock_steps,
)


@unique
class EndKind(Enum):
    """How an attempt ended.

    After any kind but `done` and `failed` the task waits again, unless its job
    has ended. `crashed` means that the target crashed and the attempt is one
    of several that may have caused it, `crashed_alone` that it is the only one,
    and `maybe_crashed` that it may not even have started.
    """

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    lapsed = 'lapsed'
    broken = 'broken'
    alone = 'alone'
    lost = 'lost'
    maybe_crashed = 'maybe_crashed'
    crashed = 'crashed'
    crashed_alone = 'crashed_alone'


EndHandler = Callable[[JobRun, StepRun, TaskRun], None]
_HANDLERS: Final[Registry[EndHandler]] = Registry('handler of attempt ends')


def apply_end(
    job: JobRun,
    key: TaskKey,
    attempt: int,
    kind: EndKind,
    checkpoint: str,
) -> bool:
    """Applies the end of an attempt.

    Returns False and changes nothing if the task is not placed or has
    another current attempt.
    """
    task = job.find_task(key)
    if task is None or task.state is not TaskState.placed:
        return False
    if task.attempt != attempt:
        return False
    step = job.steps[key.step_key.occurrence, key.step_key.step]
    if kind is EndKind.failed:
        task.failed_target_id = task.target_id
    task.target_id = TargetId('')
    task.state = TaskState.waiting
    if checkpoint:
        _save_checkpoint(step, task, checkpoint)
    handler = _HANDLERS.get(kind.value)
    if handler is not None:
        handler(job, step, task)
    return True


def _save_checkpoint(step: StepRun, task: TaskRun, checkpoint: str) -> None:
    # All members of a gang resume from the same checkpoint.
    for member in step.unit_of(task):
        member.checkpoint = checkpoint


@_HANDLERS.register(EndKind.done.value)
def _apply_done(job: JobRun, step: StepRun, task: TaskRun) -> None:
    for member in step.unit_of(task):
        member.clear_crashes()
    if step.spec.is_long_running:
        return
    step.finish(task)
    if not step.is_done:
        return
    unblock_steps(job)
    if not job.is_ended and all(run.is_done for run in job.steps.values()):
        job.state = JobState.completed


@_HANDLERS.register(EndKind.failed.value)
def _apply_failed(job: JobRun, step: StepRun, task: TaskRun) -> None:
    task.clear_crashes()
    if step.spec.is_long_running:
        return
    if step.spec.is_gang and step.failed_attempt == task.attempt:
        return
    step.failed_attempt = task.attempt
    for member in step.unit_of(task):
        member.failures_count += 1
    if task.failures_count >= job.terms.max_attempts and not job.is_ended:
        job.state = JobState.failed


@_HANDLERS.register(EndKind.maybe_crashed.value)
def _apply_maybe_crashed(job: JobRun, step: StepRun, task: TaskRun) -> None:
    task.crashes_count += 1


@_HANDLERS.register(EndKind.crashed.value)
@_HANDLERS.register(EndKind.crashed_alone.value)
def _apply_crashed(job: JobRun, step: StepRun, task: TaskRun) -> None:
    # Other members of a gang have not crashed this target.
    task.crashes_count += 1
    task.confirmed_crashes_count += 1


__all__ = ('EndKind', 'apply_end')
