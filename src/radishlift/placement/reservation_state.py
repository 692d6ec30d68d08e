"""Capacity reserved for work that can't start yet.

It is not journaled; a new owner computes it again.
"""

from dataclasses import dataclass, field
from typing import Any

from radishlift.core.ids import DepartmentName, JobId
from radishlift.placement.jobs import Resources
from radishlift.placement.queue_groups import Group, GroupKey


@dataclass(slots=True)
class PreemptionClaim:
    """A worker on which tasks are being stopped to start urgent tasks.

    `victims` are the ids and attempts of the stopped tasks. Until they have
    ended, no other work than urgent starts on the worker.
    """

    key: GroupKey
    tasks_count: int
    victims: list[tuple[str, int]]
    claimed_at_ms: int


@dataclass(slots=True)
class Reservation:
    """Capacity of workers reserved for a job from `start_ms` on.

    `spare_capacity` is, by worker row, what the reservation leaves free at
    the start; work that may run past the start is limited to it.
    `backfilled_attempts` are the ids and attempts of tasks that were started
    because they are expected to end before.
    """

    job_id: JobId
    rank: int
    start_ms: int
    spare_capacity: dict[int, Resources]
    backfilled_attempts: list[tuple[str, int]] = field(default_factory=list)


@dataclass(slots=True)
class ReservationState:
    """The current reservation, and the job that needs the next one.

    `plan` is a plan in progress for `wanted_job_id`, and no plan starts before
    `next_plan_ms`. `unplanned_job_id` is the job of the last plan that found no
    start; any other may be planned instead of it. `quota_waits_ms` tells since
    when jobs with a present or next reservation wait for quota. `claims` is by
    worker row.
    `closed_departments` has the departments with a strict policy whose first
    group is blocked, and `urgent_blocked` the urgent groups that wait for
    capacity.
    """

    reservation: Reservation | None = None
    wanted_job_id: JobId | None = None
    wanted_rank: int = 0
    unplanned_job_id: JobId | None = None
    quota_waits_ms: dict[JobId, int] = field(default_factory=dict)
    next_plan_ms: int = 0
    plan: Any = None
    claims: dict[int, PreemptionClaim] = field(default_factory=dict)
    urgent_blocked: dict[GroupKey, Group] = field(default_factory=dict)
    closed_departments: dict[DepartmentName, Group] = field(
        default_factory=dict
    )


__all__ = ('PreemptionClaim', 'Reservation', 'ReservationState')
