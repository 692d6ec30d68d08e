"""Decides which callers may see and cancel a stored job."""

from radishlift.access.gate import Caller
from radishlift.cell.job_rows import read_key_digest, read_workspace
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.services.api import Row


def may_use_job(row: Row, caller: Caller) -> bool:
    """Returns whether a caller may use the job of a row.

    Rows of progress name only the workspace, rows of jobs also the key.
    """
    plain = row.value or {}
    return caller.may_use(read_workspace(plain), read_key_digest(plain))


def refuse_job(job_id: JobId, caller: Caller) -> Failure:
    """Returns why a caller may not use a job that exists.

    To callers with the key of another workspace the job is unknown.
    """
    if caller.refusal is None:
        return unknown_job(job_id)
    log_event(
        'job_withheld',
        job=job_id,
        outcome=caller.refusal.kind,
        reason=caller.refusal.reason,
    )
    return caller.refusal


def unknown_job(job_id: JobId) -> Failure:
    """Returns the failure of a call that names a job which does not exist."""
    return Failure(ErrorKind.not_found, f'no job {job_id}')


__all__ = ('may_use_job', 'refuse_job', 'unknown_job')
