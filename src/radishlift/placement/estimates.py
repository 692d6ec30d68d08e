"""Estimates of what tasks use, from lagged reports."""

from radishlift.placement.jobs import JobSpec, Resources
from radishlift.placement.working import Working


def demand_of(working: Working, spec: JobSpec) -> Resources:
    """Returns the amounts to reserve for a task of a job."""
    return spec.demand


__all__ = ('demand_of',)
