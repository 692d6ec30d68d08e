"""Identifiers of queues, steps, tasks and targets."""

from typing import NamedTuple, NewType

from radishlift.core.ids import JobId

QueueName = NewType('QueueName', str)
"""Name of a queue that callers submit jobs to."""

TargetId = NewType('TargetId', str)
"""Id of a target, a process that runs tasks; a restart keeps the id."""

TargetIncarnation = NewType('TargetIncarnation', int)
"""Start time of a target's process in Unix milliseconds.

It changes when the process restarts.
"""

FencingToken = NewType('FencingToken', int)
"""Fencing token of orders to targets; the first one of a term is its epoch."""


class StepKey(NamedTuple):
    """Key of one occurrence of a step of a job."""

    job_id: JobId
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f'{self.job_id}.{self.occurrence}.{self.step}'


class TaskKey(NamedTuple):
    """Key of one task of an occurrence of a step."""

    step_key: StepKey
    number: int

    def __str__(self) -> str:
        return f'{self.step_key}.{self.number}'


def parse_task_key(text: str) -> TaskKey | None:
    """Parses the text form of a task key; returns None if it is invalid."""
    parts = text.split('.')
    if len(parts) != 4:
        return None
    job_id, *numbers = parts
    if not all(part.isdecimal() for part in numbers):
        return None
    occurrence, step, number = map(int, numbers)
    return TaskKey(StepKey(JobId(job_id), occurrence, step), number)


__all__ = (
    'FencingToken',
    'TargetIncarnation',
    'QueueName',
    'StepKey',
    'TargetId',
    'TaskKey',
    'parse_task_key',
)
