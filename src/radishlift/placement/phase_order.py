"""Imports the phases in the order in which a tick runs them."""

# ruff: noqa: I001
from radishlift.placement.endings import end_attempts, update_workers
from radishlift.placement.cancellations import cancel_jobs
from radishlift.placement.drains import drain_workers
from radishlift.placement.usage import process_usage
from radishlift.placement.gang_parts import stop_parts
from radishlift.placement.retries import requeue_delayed_tasks
from radishlift.placement.admission import admit_jobs, age_jobs
from radishlift.placement.reservations import plan_reservation
from radishlift.placement.quarantine import update_quarantine
from radishlift.placement.placing import place_tasks
from radishlift.placement.preemption import preempt_tasks
from radishlift.placement.statistics_recording import record_statistics
from radishlift.placement.retention import remove_ended_jobs

__all__ = (
    'update_workers',
    'end_attempts',
    'cancel_jobs',
    'drain_workers',
    'stop_parts',
    'requeue_delayed_tasks',
    'admit_jobs',
    'age_jobs',
    'update_quarantine',
    'process_usage',
    'plan_reservation',
    'place_tasks',
    'preempt_tasks',
    'record_statistics',
    'remove_ended_jobs',
)
