"""Decodes the jobs that callers submit."""

import json
from collections.abc import Mapping
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId, RackId
from radishlift.platform.documents import decode_amounts
from radishlift.steps.spec import JobSpec, StepSpec

_MALFORMED: Final = (KeyError, TypeError, ValueError, AttributeError)


def decode_submission(job_id: JobId, body: bytes) -> JobSpec | Failure:
    """Decodes the body of a submission; fails with `invalid_input`."""
    try:
        return _job(job_id, json.loads(body))
    except _MALFORMED as error:
        return Failure(ErrorKind.invalid_input, f'job {job_id}: {error!r}')


def _job(job_id: JobId, plain: Mapping[str, Any]) -> JobSpec:
    steps = tuple(
        _step(number, step) for number, step in enumerate(plain['steps'])
    )
    if not steps:
        raise ValueError('a job needs a step')
    return JobSpec(
        job_id,
        str(plain.get('spec', '')),
        steps,
        int(plain.get('repeats', 0)),
        int(plain.get('startAtMs', 0)),
        int(plain.get('intervalMs', 0)),
    )


def _step(number: int, plain: Mapping[str, Any]) -> StepSpec:
    depends_on = tuple(int(earlier) for earlier in plain.get('dependsOn', ()))
    if any(earlier not in range(number) for earlier in depends_on):
        raise ValueError(f'step {number} depends on a later step')
    count = int(plain['count'])
    if count < 1:
        raise ValueError(f'step {number} has no tasks')
    return StepSpec(
        tasks_count=count,
        amounts=decode_amounts(plain),
        estimate_ms=int(plain.get('estimateMs', 0)),
        depends_on=depends_on,
        saves_checkpoints=bool(plain.get('checkpointing')),
        is_gang=bool(plain.get('gang')),
        same_rack=bool(plain.get('sameRack')),
        # One label that the target must have.
        required_label=str(plain.get('requirements') or ''),
        data_rack=RackId(plain.get('dataRack', '')),
        # The most tasks of the step on one target.
        max_per_target_count=int(plain.get('antiAffinity', 0)),
        is_speculative=bool(plain.get('speculative')),
        is_long_running=bool(plain.get('longRunning')),
        image=str(plain.get('image', '')),
        tail_limit_ms=int(plain.get('targetMs', 0)),
        uses_leftovers=bool(plain.get('fills')),
        may_miss_count=int(plain.get('mayMiss', 0)),
    )


__all__ = ('decode_submission',)
