"""Progress of a job that one partition hands off to another."""

from dataclasses import dataclass, field

from radishlift.core.ids import Attempt, PartitionId, WorkerId
from radishlift.placement.jobs import TaskState


@dataclass(frozen=True, slots=True)
class QueuedTask:
    """A task that was started before and is queued again."""

    index: int
    attempt: Attempt
    failed_on: tuple[WorkerId, ...] = ()
    retry_at_ms: int = 0
    suspect_failures_count: int = 0


@dataclass(frozen=True, slots=True)
class JobTransfer:
    """Progress of a job without live attempts.

    The tasks below `started_count` that are not in `queued_tasks` have ended.
    Attempt numbers continue from the last attempt, so that a worker never
    takes an earlier attempt that it still knows for a later one.
    """

    passed_partitions: tuple[PartitionId, ...] = ()
    started_count: int = 0
    queued_tasks: tuple[QueuedTask, ...] = ()
    ended_counts: dict[TaskState, int] = field(default_factory=dict)


__all__ = ('JobTransfer', 'QueuedTask')
