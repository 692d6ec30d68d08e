"""Stored form of the progress of a job's tasks.

Tasks without an attempt are omitted to keep the job's row small.
"""

from collections.abc import Mapping
from typing import Any, Final

from radishlift.steps.ids import TargetId
from radishlift.steps.runs import (
    JobRun,
    JobState,
    StepRun,
    TaskRun,
    TaskState,
    unblock_steps,
)
from radishlift.steps.spec import JobSpec

# The longest stored forms, with reserve: ids of targets have 12 characters,
# and a checkpoint is taken for a name of at most 60.
JOB_BYTES: Final = 512
STEP_BYTES: Final = 32
TASK_BYTES: Final = 64
CHECKPOINT_BYTES: Final = 64


def max_progress_bytes(spec: JobSpec) -> int:
    """Returns how many bytes the progress of a job may take at most.

    All tasks of all occurrences may be stored at the same time.
    """
    step_bytes = 0
    for step in spec.steps:
        task_bytes = TASK_BYTES
        if step.saves_checkpoints:
            task_bytes += CHECKPOINT_BYTES
        step_bytes += STEP_BYTES + step.tasks_count * task_bytes
    return JOB_BYTES + step_bytes * max(1, spec.repeats_count)


def dump_progress(job: JobRun) -> dict[str, Any]:
    """Converts the progress of a job to plain data.

    An ended job without placed tasks is stored as its state only.
    """
    if job.is_ended and not any(
        task.state is TaskState.placed for task in job.all_tasks()
    ):
        return dump_end(job)
    progress = {
        **_dump_state(job),
        'steps': [
            [*step_key, tasks]
            for step_key, step in job.steps.items()
            if (tasks := _dump_tasks(step))
        ],
    }
    crashes = _dump_crashes(job)
    if crashes:
        progress['crashes'] = crashes
    return progress


def dump_end(job: JobRun) -> dict[str, Any]:
    """Converts the state of an ended job, without its tasks."""
    return {**_dump_state(job), 'steps': []}


def _dump_state(job: JobRun) -> dict[str, Any]:
    state = {'state': job.state.value}
    if job.reason:
        state['reason'] = job.reason
    if job.workspace:
        # Daemons need it for each query of a caller.
        state['workspace'] = job.workspace
    return state


def _dump_crashes(job: JobRun) -> list[list[int]]:
    # A field of its own, which earlier versions ignore.
    return [
        [
            *step_key,
            task.key.number,
            task.crashes_count,
            task.confirmed_crashes_count,
        ]
        for step_key, step in job.steps.items()
        for task in step.tasks
        if task.crashes_count
    ]


def _dump_tasks(step: StepRun) -> list[list[Any]]:
    return [
        [
            task.key.number,
            task.state.value,
            task.attempt,
            task.failures_count,
            task.target_id,
            task.checkpoint,
        ]
        for task in step.tasks
        if task.attempt
    ]


def load_progress(job: JobRun, plain: Mapping[str, Any]) -> None:
    """Restores the progress of a newly built job from plain data.

    Raises KeyError, TypeError or ValueError for invalid data.
    """
    job.state = JobState(plain['state'])
    job.committed_state = job.state
    job.is_end_stored = job.is_ended and not plain['steps']
    for occurrence, number, tasks in plain['steps']:
        step = job.steps[occurrence, number]
        for fields in tasks:
            _load_task(step, fields)
    for occurrence, number, index, *counts in plain.get('crashes', ()):
        task = job.steps[occurrence, number].tasks[index]
        crashes_count, confirmed_count = counts
        task.crashes_count = int(crashes_count)
        task.confirmed_crashes_count = int(confirmed_count)
    job.reason = str(plain.get('reason', ''))
    job.has_started = any(
        task.state is TaskState.done or task.failures_count
        for task in job.all_tasks()
    )
    unblock_steps(job)


def _load_task(step: StepRun, fields: list[Any]) -> None:
    index, state, *counts, target_id, checkpoint = fields
    attempt, failures_count = counts
    task = TaskRun(
        step.tasks[index].key,
        TaskState(state),
        int(attempt),
        int(failures_count),
        TargetId(target_id),
        checkpoint,
    )
    step.tasks[index] = task
    if task.state is TaskState.done:
        step.unfinished_count -= 1


__all__ = (
    'CHECKPOINT_BYTES',
    'JOB_BYTES',
    'STEP_BYTES',
    'TASK_BYTES',
    'dump_end',
    'dump_progress',
    'load_progress',
    'max_progress_bytes',
)
