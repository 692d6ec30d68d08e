"""Messages between daemons about partitions and their jobs."""

from dataclasses import dataclass

from radishlift.core.ids import (
    Epoch,
    Incarnation,
    JobId,
    PartitionId,
    RackId,
    TaskId,
)
from radishlift.placement.explanations import Explanation
from radishlift.placement.jobs import JobSpec, TaskState
from radishlift.placement.transfers import JobTransfer
from radishlift.wire.messages import message


@message('drop_partition')
@dataclass(frozen=True, slots=True)
class DropPartition:
    """Requests that a daemon stops all its owners before this epoch."""

    partition_id: PartitionId
    epoch: Epoch


@message('look_at_rack')
@dataclass(frozen=True, slots=True)
class LookAtRack:
    """Requests that an owner reads the row of a rack.

    The row concerns its partition. The message has no reply and may be lost:
    only the row counts.
    """

    partition_id: PartitionId
    rack: RackId


@message('partition_dropped')
@dataclass(frozen=True, slots=True)
class PartitionDropped:
    """Confirms that this incarnation sends nothing for earlier epochs."""

    partition_id: PartitionId
    incarnation: Incarnation


@message('submit_job')
@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Submits a job to the owner of its home; idempotent."""

    partition_id: PartitionId
    spec: JobSpec
    timeout_ms: int


@message('hand_off_job')
@dataclass(frozen=True, slots=True)
class HandOffJob:
    """Passes a job without live attempts to a partition; idempotent."""

    partition_id: PartitionId
    spec: JobSpec
    accepted_at_ms: int
    from_partition: PartitionId
    timeout_ms: int
    transfer: JobTransfer | None = None


@message('job_submitted')
@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """The first acceptance of a job, journaled by its home."""

    job_id: JobId
    partition_id: PartitionId
    accepted_at_ms: int


@message('cancel_job')
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancels a job; idempotent."""

    partition_id: PartitionId
    job_id: JobId
    timeout_ms: int


@message('job_cancelling')
@dataclass(frozen=True, slots=True)
class JobCancelling:
    """The cancellation is journaled; running tasks are being stopped."""

    job_id: JobId


@message('get_job_status')
@dataclass(frozen=True, slots=True)
class GetJobStatus:
    """Requests the status of a job."""

    partition_id: PartitionId
    job_id: JobId


@message('job_status')
@dataclass(frozen=True, slots=True)
class JobStatus:
    """Tasks of a job by state; tasks that never started count as queued.

    `failure` names the first task that ended as failed.
    """

    job_id: JobId
    partition_id: PartitionId
    accepted_at_ms: int
    is_cancelled: bool
    task_counts: dict[TaskState, int]
    failure: str = ''


@dataclass(frozen=True, slots=True)
class OpenShare:
    """Members of a gang that another partition starts or runs."""

    partition_id: PartitionId
    tasks_count: int


@message('job_spread')
@dataclass(frozen=True, slots=True)
class JobSpread:
    """Status of a multi-partition gang.

    `status` does not include the tasks of the open `shares`.
    """

    status: JobStatus
    shares: tuple[OpenShare, ...]


@message('explain_task')
@dataclass(frozen=True, slots=True)
class ExplainTask:
    """Requests where a task runs or why it does not run."""

    partition_id: PartitionId
    task_id: TaskId


@message('task_explained')
@dataclass(frozen=True, slots=True)
class TaskExplained:
    """Where a task runs or why it does not run, as its partition knows it."""

    partition_id: PartitionId
    explanation: Explanation


@message('job_moved')
@dataclass(frozen=True, slots=True)
class JobMoved:
    """The job was handed off; the caller repeats the call at `to_partition`.

    `last_known` is the state of the job until the other partition has
    confirmed that it has the job.
    """

    job_id: JobId
    to_partition: PartitionId
    last_known: JobStatus | None = None


__all__ = (
    'CancelJob',
    'DropPartition',
    'ExplainTask',
    'GetJobStatus',
    'HandOffJob',
    'JobCancelling',
    'JobMoved',
    'JobStatus',
    'JobSpread',
    'JobSubmitted',
    'LookAtRack',
    'OpenShare',
    'PartitionDropped',
    'SubmitJob',
    'TaskExplained',
)
