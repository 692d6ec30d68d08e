"""Decodes the jobs that callers submit."""

import json
from collections.abc import Mapping
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId, RackId
from radishlift.platform.documents import decode_amounts
from radishlift.steps.spec import JobSpec, StepSpec

_DECODE_ERRORS: Final = (KeyError, TypeError, ValueError, AttributeError)


def decode_submission(job_id: JobId, body: bytes) -> JobSpec | Failure:
    """Decodes the body of a submission; fails with `invalid_input`."""
    try:
        return _decode_job(job_id, json.loads(body))
    except _DECODE_ERRORS as error:
        return Failure(ErrorKind.invalid_input, f'job {job_id}: {error!r}')


def _decode_job(job_id: JobId, fields: Mapping[str, Any]) -> JobSpec:
    steps = tuple(
        _decode_step(number, step)
        for number, step in enumerate(fields['steps'])
    )
    if not steps:
        raise ValueError('job has no steps')
    return JobSpec(
        job_id,
        str(fields.get('spec', '')),
        steps,
        int(fields.get('repeats', 0)),
        int(fields.get('startAtMs', 0)),
        int(fields.get('intervalMs', 0)),
    )


def _decode_step(number: int, fields: Mapping[str, Any]) -> StepSpec:
    depends_on = tuple(
        int(dependency) for dependency in fields.get('dependsOn', ())
    )
    if any(dependency not in range(number) for dependency in depends_on):
        raise ValueError(f'step {number} depends on a step that is not earlier')
    count = int(fields['count'])
    if count < 1:
        raise ValueError(f'step {number} has a task count below 1')
    return StepSpec(
        tasks_count=count,
        amounts=decode_amounts(fields),
        estimate_ms=int(fields.get('estimateMs', 0)),
        depends_on=depends_on,
        saves_checkpoints=bool(fields.get('checkpointing')),
        is_gang=bool(fields.get('gang')),
        same_rack=bool(fields.get('sameRack')),
        # A single label that the target must have.
        required_label=str(fields.get('requirements') or ''),
        data_rack=RackId(fields.get('dataRack', '')),
        # Maximum number of tasks of the step on one target.
        max_per_target_count=int(fields.get('antiAffinity', 0)),
        is_speculative=bool(fields.get('speculative')),
        is_long_running=bool(fields.get('longRunning')),
        image=str(fields.get('image', '')),
        tail_limit_ms=int(fields.get('targetMs', 0)),
        uses_leftovers=bool(fields.get('fills')),
        may_miss_count=int(fields.get('mayMiss', 0)),
    )


__all__ = ('decode_submission',)
