"""Types of jobs, tasks and workers that placement shares with callers."""

from dataclasses import dataclass
from enum import Enum, unique

from radishlift.core.ids import (
    Attempt,
    DataCentreId,
    DepartmentName,
    Incarnation,
    JobId,
    RackId,
    TaskId,
    TeamName,
    WorkerId,
)


@unique
class JobKind(Enum):
    """How the tasks of a job run: a gang starts all of them or none."""

    service = 'service'
    batch = 'batch'
    gang = 'gang'


@unique
class Priority(Enum):
    """Priority of a job; urgent work may preempt lower priorities."""

    urgent = 'urgent'
    high = 'high'
    normal = 'normal'
    low = 'low'

    # `Enum.__hash__` is a Python function, and each placement needs several
    # hashes, so the faster hash of `object` replaces it.
    __hash__ = object.__hash__


@unique
class TaskState(Enum):
    """State of a task."""

    queued = 'queued'
    placed = 'placed'
    running = 'running'
    stopping = 'stopping'
    finished = 'finished'
    failed = 'failed'
    cancelled = 'cancelled'

    __hash__ = object.__hash__


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of processor, memory and accelerators."""

    cpu_milli: int
    memory_mb: int
    accelerators_count: int = 0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its caller submits it; `demand` is that of one task.

    `run_time_ms` is the caller's estimate; 0 means unknown. A service has no
    expected end. A task that fails gets at most `max_attempts` attempts.
    """

    job_id: JobId
    department: DepartmentName
    team: TeamName
    name: str
    kind: JobKind
    task_count: int
    demand: Resources
    run_time_ms: int = 0
    priority: Priority = Priority.normal
    max_attempts: int = 3


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker as it describes itself."""

    worker_id: WorkerId
    incarnation: Incarnation
    rack: RackId
    data_centre: DataCentreId
    capacity: Resources


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage of a running task, measured `age_ms` ago.

    `run_ms` is how long the attempt has run.
    """

    task_id: TaskId
    attempt: Attempt
    usage: Resources
    run_ms: int
    age_ms: int


def task_id_of(job_id: JobId, index: int) -> TaskId:
    """Returns the id of a task of a job; indexes start at 0."""
    return TaskId(f'{job_id}/{index}')


def job_id_of(task_id: TaskId) -> JobId:
    """Returns the job that a task belongs to."""
    return JobId(task_id.rpartition('/')[0])


__all__ = (
    'JobKind',
    'JobSpec',
    'Priority',
    'Resources',
    'TaskState',
    'UsageReport',
    'WorkerInfo',
    'job_id_of',
    'task_id_of',
)
