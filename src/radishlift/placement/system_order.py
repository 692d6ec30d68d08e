"""Imports the systems in the order in which a tick runs them."""

# ruff: noqa: I001
from radishlift.placement.endings import end_attempts, update_workers
from radishlift.placement.cancellations import cancel_jobs
from radishlift.placement.drains import drain_workers
from radishlift.placement.usage import take_in_usage
from radishlift.placement.gang_parts import stop_parts
from radishlift.placement.retries import release_retries
from radishlift.placement.admission import admit_jobs, age_jobs
from radishlift.placement.reservations import plan_reservation
from radishlift.placement.quarantine import judge_workers
from radishlift.placement.placing import place_tasks
from radishlift.placement.preemption import preempt_tasks
from radishlift.placement.learning import record_learned
from radishlift.placement.retention import forget_jobs

__all__ = (
    'update_workers',
    'end_attempts',
    'cancel_jobs',
    'drain_workers',
    'stop_parts',
    'release_retries',
    'admit_jobs',
    'age_jobs',
    'judge_workers',
    'take_in_usage',
    'plan_reservation',
    'place_tasks',
    'preempt_tasks',
    'record_learned',
    'forget_jobs',
)
