"""Decodes the jobs that callers submit."""

from collections.abc import Mapping
from typing import Any

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId, RackId
from radishlift.platform.documents import decode_amounts
from radishlift.platform.json_bodies import (
    DECODE_ERRORS,
    describe,
    read_count,
    read_integer,
    read_json,
    read_list,
    read_text,
)
from radishlift.steps.spec import MAX_JOB_TASKS, JobSpec, StepSpec


def decode_submission(job_id: JobId, body: bytes) -> JobSpec | Failure:
    """Decodes the body of a submission; fails with `invalid_input`."""
    try:
        return _decode_job(job_id, read_json(body))
    except DECODE_ERRORS as error:
        return Failure(
            ErrorKind.invalid_input, f'job {job_id}: {describe(error)}'
        )


def _decode_job(job_id: JobId, fields: Mapping[str, Any]) -> JobSpec:
    steps = tuple(
        _decode_step(number, step)
        for number, step in enumerate(read_list(fields['steps']))
    )
    if not steps:
        raise ValueError('job has no steps')
    repeats_count = read_count(fields.get('repeats', 0))
    tasks_count = sum(step.tasks_count for step in steps)
    if tasks_count * max(1, repeats_count) > MAX_JOB_TASKS:
        raise ValueError(f'job has more than {MAX_JOB_TASKS} tasks')
    return JobSpec(
        job_id,
        read_text(fields.get('spec', '')),
        steps,
        repeats_count,
        read_integer(fields.get('startAtMs', 0)),
        read_count(fields.get('intervalMs', 0)),
    )


def _decode_step(number: int, fields: Mapping[str, Any]) -> StepSpec:
    depends_on = tuple(
        read_count(dependency)
        for dependency in read_list(fields.get('dependsOn', []))
    )
    if any(dependency not in range(number) for dependency in depends_on):
        raise ValueError(f'step {number} depends on a step that is not earlier')
    count = read_count(fields['count'])
    if count < 1:
        raise ValueError(f'step {number} has a task count below 1')
    return StepSpec(
        tasks_count=count,
        amounts=decode_amounts(fields),
        estimate_ms=read_count(fields.get('estimateMs', 0)),
        depends_on=depends_on,
        saves_checkpoints=bool(fields.get('checkpointing')),
        is_gang=bool(fields.get('gang')),
        same_rack=bool(fields.get('sameRack')),
        # A single label that the target must have.
        required_label=read_text(fields.get('requirements') or ''),
        data_rack=RackId(read_text(fields.get('dataRack', ''))),
        # Maximum number of tasks of the step on one target.
        max_per_target_count=read_count(fields.get('antiAffinity', 0)),
        is_speculative=bool(fields.get('speculative')),
        is_long_running=bool(fields.get('longRunning')),
        image=read_text(fields.get('image', '')),
        tail_limit_ms=read_count(fields.get('targetMs', 0)),
        uses_leftovers=bool(fields.get('fills')),
        may_miss_count=read_count(fields.get('mayMiss', 0)),
    )


__all__ = ('decode_submission',)
