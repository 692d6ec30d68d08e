"""Journal records of placement; times are wall-clock times of the owner."""

from dataclasses import dataclass

from radishlift.core.ids import (
    Attempt,
    GangRoundId,
    Incarnation,
    JobId,
    PartitionId,
    TaskId,
    WorkerId,
)
from radishlift.journal.records import record
from radishlift.placement.jobs import (
    JobSpec,
    Resources,
    TaskState,
    WorkerInfo,
)
from radishlift.placement.transfers import JobTransfer


@record('job_accepted')
@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job was added to the queue of this partition.

    `from_partition` is the partition that handed the job off, with the
    progress of the job in `transfer`. It is empty if this is the job's home.
    """

    spec: JobSpec
    accepted_at_ms: int
    from_partition: PartitionId = PartitionId('')
    transfer: JobTransfer | None = None


@record('job_handed_off')
@dataclass(frozen=True, slots=True)
class JobHandedOff:
    """A job without live attempts was handed off to another partition."""

    job_id: JobId
    to_partition: PartitionId
    handed_off_at_ms: int = 0


@record('job_cancelled')
@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller cancelled a job."""

    job_id: JobId
    cancelled_at_ms: int = 0


@record('task_placed')
@dataclass(frozen=True, slots=True)
class TaskPlaced:
    """A worker's capacity was committed to an attempt of a task.

    The start may be sent to the worker once this is journaled.
    """

    task_id: TaskId
    attempt: Attempt
    worker_id: WorkerId
    incarnation: Incarnation
    reserved: Resources
    placed_at_ms: int


@record('task_stopping')
@dataclass(frozen=True, slots=True)
class TaskStopping:
    """An attempt is to be stopped; its capacity stays committed.

    If `is_requeued`, the task is queued again after the stop.
    """

    task_id: TaskId
    attempt: Attempt
    is_requeued: bool
    reason: str


@record('task_ended')
@dataclass(frozen=True, slots=True)
class TaskEnded:
    """An attempt is confirmed ended and its capacity is free.

    `state` is the new state of the task: finished, failed, cancelled, or
    queued for another attempt, which does not start before `retry_at_ms`.
    """

    task_id: TaskId
    attempt: Attempt
    state: TaskState
    reason: str
    ended_at_ms: int = 0
    retry_at_ms: int = 0


@record('job_forgotten')
@dataclass(frozen=True, slots=True)
class JobForgotten:
    """An ended job was removed; its id may be submitted again."""

    job_id: JobId


@dataclass(frozen=True, slots=True)
class GangMember:
    """A member of a gang and the worker with capacity reserved for it.

    `failed_on` are the workers on which earlier attempts failed.
    """

    task_id: TaskId
    attempt: Attempt
    worker_id: WorkerId
    incarnation: Incarnation
    failed_on: tuple[WorkerId, ...] = ()


@record('gang_reserved')
@dataclass(frozen=True, slots=True)
class GangReserved:
    """Capacity is held for this partition's part of a multi-partition gang.

    From `expires_at_ms` on, the partition requests the outcome of the round
    from the home, and releases the hold unless the home decided to commit.
    """

    spec: JobSpec
    home: PartitionId
    members: tuple[GangMember, ...]
    reserved: Resources
    expires_at_ms: int
    round_id: GangRoundId = GangRoundId('')


@record('gang_committed')
@dataclass(frozen=True, slots=True)
class GangCommitted:
    """The held part of a gang starts; attempts replace the hold."""

    job_id: JobId
    placed_at_ms: int
    round_id: GangRoundId = GangRoundId('')


@record('gang_released')
@dataclass(frozen=True, slots=True)
class GangReleased:
    """The hold of a round is released; the round never starts here.

    It is also journaled if nothing is held, before the home is informed that
    a part can't start. A deposed owner can't journal, so it can't send such
    an answer.
    """

    job_id: JobId
    reason: str
    round_id: GangRoundId = GangRoundId('')
    released_at_ms: int = 0


@record('worker_observed')
@dataclass(frozen=True, slots=True)
class WorkerObserved:
    """A worker is new, has restarted, or has changed its capacity."""

    worker: WorkerInfo


@record('worker_removed')
@dataclass(frozen=True, slots=True)
class WorkerRemoved:
    """A worker was removed and gets no tasks.

    Attempts on it stay committed until their `TaskEnded`.
    """

    worker_id: WorkerId
    incarnation: Incarnation


@record('worker_quarantined')
@dataclass(frozen=True, slots=True)
class WorkerQuarantined:
    """A worker gets only probe tasks until its quarantine ends."""

    worker_id: WorkerId
    incarnation: Incarnation
    reason: str


@record('worker_returned')
@dataclass(frozen=True, slots=True)
class WorkerReturned:
    """The quarantine of a worker has ended; it gets tasks again."""

    worker_id: WorkerId


__all__ = (
    'GangCommitted',
    'GangMember',
    'GangReleased',
    'GangReserved',
    'JobAccepted',
    'JobCancelled',
    'JobForgotten',
    'JobHandedOff',
    'TaskEnded',
    'TaskPlaced',
    'TaskStopping',
    'WorkerObserved',
    'WorkerQuarantined',
    'WorkerRemoved',
    'WorkerReturned',
)
