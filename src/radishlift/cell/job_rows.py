"""Stored form of submitted jobs."""

from collections.abc import Mapping
from typing import Any

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.steps.runs import JobRun, build_job
from radishlift.steps.spec import JobSpec, QueueTerms


def dump_job(
    spec: JobSpec,
    terms: QueueTerms,
    accepted_at_ms: int,
) -> dict[str, Any]:
    """Converts a job, its terms and its arrival in Unix time to plain data."""
    return {
        'spec': dump_plain(spec),
        'terms': dump_plain(terms),
        'accepted_at_ms': accepted_at_ms,
    }


def load_job(plain: Mapping[str, Any]) -> JobRun | Failure:
    """Builds a job without progress; fails with `invalid_input`."""
    spec = read_plain(plain.get('spec'), JobSpec)
    if isinstance(spec, Failure):
        return spec
    terms = read_plain(plain.get('terms'), QueueTerms)
    if isinstance(terms, Failure):
        return terms
    return build_job(spec, terms, int(plain.get('accepted_at_ms', 0)))


__all__ = ('dump_job', 'load_job')
