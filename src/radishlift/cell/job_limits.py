"""Limits of jobs that the store sets: each job has one row of progress."""

import json
from collections.abc import Mapping
from typing import Any

from radishlift.core.errors import ErrorKind, Failure
from radishlift.steps.progress import max_progress_bytes
from radishlift.steps.spec import JobSpec


def check_job_size(
    spec: JobSpec, row: Mapping[str, Any], max_row_bytes: int
) -> Failure | None:
    """Checks that a job and its progress fit in a row of the store.

    `max_row_bytes` is 0 if it is unknown. Fails with `too_large`: a leader
    could never commit the progress of such a job, nor that of others with it.
    """
    if not max_row_bytes:
        return None
    sizes = {
        'job': len(json.dumps(row)),
        'progress': max_progress_bytes(spec),
    }
    for name, size_bytes in sizes.items():
        if size_bytes > max_row_bytes:
            return Failure(
                ErrorKind.too_large,
                f'the {name} of job {spec.job_id} may take {size_bytes} bytes, '
                f'at most {max_row_bytes} (rowBytes) are allowed',
            )
    return None


__all__ = ('check_job_size',)
