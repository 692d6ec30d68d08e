"""Identifiers of jobs of steps and of the targets that run their tasks."""

from typing import NamedTuple, NewType

from radishlift.core.ids import JobId

QueueName = NewType('QueueName', str)
"""Name of a queue, which callers submit jobs to."""

TargetId = NewType('TargetId', str)
"""A process that runs tasks; it may restart under the same id."""

TargetIncarnation = NewType('TargetIncarnation', int)
"""Start time of a target's process in Unix milliseconds."""

FencingToken = NewType('FencingToken', int)
"""Fencing token of orders: the epoch of the leader that gives them."""


class StepKey(NamedTuple):
    """One occurrence of a step of a job."""

    job_id: JobId
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f'{self.job_id}.{self.occurrence}.{self.step}'


class TaskKey(NamedTuple):
    """One task of an occurrence of a step."""

    step_key: StepKey
    number: int

    def __str__(self) -> str:
        return f'{self.step_key}.{self.number}'


def parse_task_key(text: str) -> TaskKey | None:
    """Reads the text form of a task key; None if it is none."""
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
