"""Capacity that is kept free for work that can't start yet.

Not durable: a successor computes it again.
"""

from dataclasses import dataclass, field
from typing import Any

from radishlift.core.ids import DepartmentName, JobId
from radishlift.placement.jobs import Resources
from radishlift.placement.queue_groups import Group, GroupKey


@dataclass(slots=True)
class PreemptionClaim:
    """A worker whose tasks are being stopped for urgent tasks.

    `victims` are task ids and attempts. Until they have ended, no lower
    work starts on the worker.
    """

    key: GroupKey
    tasks_count: int
    victims: list[tuple[str, int]]
    claimed_at_ms: int


@dataclass(slots=True)
class Reservation:
    """A start that is reserved for a waiting job.

    `spare` is what each of its workers will have left at the start; work
    that runs past the start may take no more. `passing` are the attempts
    that were let through because they should end before.
    """

    job_id: JobId
    rank: int
    start_ms: int
    spare_capacity: dict[int, Resources]
    backfilled_attempts: list[tuple[str, int]] = field(default_factory=list)


@dataclass(slots=True)
class ReservationState:
    """The reservation in force, and the job that needs the next one.

    `claims` are by worker row. `closed` are departments of a strict policy
    whose head is blocked, and `urgent_blocked` urgent groups without room.
    """

    reservation: Reservation | None = None
    wanted_job_id: JobId | None = None
    wanted_rank: int = 0
    next_plan_ms: int = 0
    plan: Any = None
    claims: dict[int, PreemptionClaim] = field(default_factory=dict)
    urgent_blocked: dict[GroupKey, Group] = field(default_factory=dict)
    closed_departments: dict[DepartmentName, Group] = field(
        default_factory=dict
    )


__all__ = ('ReservationState', 'PreemptionClaim', 'Reservation')
