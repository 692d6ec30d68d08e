"""Stored form of submitted jobs."""

from collections.abc import Mapping
from typing import Any

from radishlift.access.keys import NO_DIGEST, KeyDigest
from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import WorkspaceName
from radishlift.steps.runs import JobRun, build_job
from radishlift.steps.spec import JobSpec, QueueTerms
from radishlift.steps.workspaces import NO_WORKSPACE


def dump_job(
    spec: JobSpec,
    terms: QueueTerms,
    accepted_at_ms: int,
    workspace: WorkspaceName = NO_WORKSPACE,
    key_digest: KeyDigest = NO_DIGEST,
) -> dict[str, Any]:
    """Converts a job, its terms and its arrival in Unix time to plain data.

    A job of no workspace has no field `workspace`, and one that was submitted
    without a key no `key_digest`.
    """
    row = {
        'spec': dump_plain(spec),
        'terms': dump_plain(terms),
        'accepted_at_ms': accepted_at_ms,
    }
    if workspace:
        row['workspace'] = workspace
    if key_digest:
        row['key_digest'] = key_digest
    return row


def dump_ended_job(job: JobRun, key_digest: KeyDigest) -> dict[str, Any]:
    """Converts an ended job to plain data without its text and steps."""
    spec = JobSpec(job.spec.job_id, '', ())
    terms = QueueTerms(job.terms.queue, job.terms.service)
    return dump_job(spec, terms, job.accepted_at_ms, job.workspace, key_digest)


def load_job(plain: Mapping[str, Any]) -> JobRun | Failure:
    """Builds a job without progress; fails with `invalid_input`."""
    spec = read_plain(plain.get('spec'), JobSpec)
    if isinstance(spec, Failure):
        return spec
    terms = read_plain(plain.get('terms'), QueueTerms)
    if isinstance(terms, Failure):
        return terms
    job = build_job(spec, terms, int(plain.get('accepted_at_ms', 0)))
    job.workspace = read_workspace(plain)
    return job


def read_workspace(plain: Mapping[str, Any]) -> WorkspaceName:
    """Returns the workspace of the row of a job, its progress or its cancel."""
    return WorkspaceName(str(plain.get('workspace', NO_WORKSPACE)))


def read_key_digest(plain: Mapping[str, Any]) -> KeyDigest:
    """Returns the digest of the key with which a job was submitted."""
    return KeyDigest(str(plain.get('key_digest', NO_DIGEST)))


__all__ = (
    'dump_ended_job',
    'dump_job',
    'load_job',
    'read_key_digest',
    'read_workspace',
)
