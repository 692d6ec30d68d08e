"""Imports the systems in the order in which a tick runs them."""

# ruff: noqa: I001
from radishlift.placement.endings import end_attempts, update_workers
from radishlift.placement.cancellations import cancel_jobs
from radishlift.placement.admission import admit_jobs
from radishlift.placement.placing import place_tasks

__all__ = (
    'update_workers',
    'end_attempts',
    'cancel_jobs',
    'admit_jobs',
    'place_tasks',
)
