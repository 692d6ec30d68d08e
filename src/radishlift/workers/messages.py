"""Typed messages of the worker protocol of docs/design.md, section 3."""

from dataclasses import dataclass
from enum import Enum, unique

from radishlift.core.ids import (
    Attempt,
    DataCentreId,
    Incarnation,
    RackId,
    TaskId,
    WorkerId,
)
from radishlift.placement.jobs import Resources, WorkerInfo


@unique
class AttemptState(Enum):
    """State of an attempt as reported by its worker."""

    running = 'running'
    finished = 'finished'
    failed = 'failed'
    stopped = 'stopped'
    unknown = 'unknown'


@unique
class RefusalReason(Enum):
    """Reason why a worker refused a message with status 409."""

    incarnation = 'incarnation'
    lapsed = 'lapsed'
    stopped = 'stopped'


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identifies one attempt of a task."""

    task_id: TaskId
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class WorkerDescription:
    """Body of the answer to `GET /worker`."""

    worker_id: WorkerId
    incarnation: Incarnation
    clock_ms: int
    rack: RackId
    data_centre: DataCentreId
    cpu_milli: int
    memory_mb: int
    accelerators: int

    def as_info(self) -> WorkerInfo:
        """Converts the description to the type that placement uses."""
        return WorkerInfo(
            self.worker_id,
            self.incarnation,
            self.rack,
            self.data_centre,
            Resources(self.cpu_milli, self.memory_mb, self.accelerators),
        )


@dataclass(frozen=True, slots=True)
class TaskToStart:
    """Task of a start message; a `run_time_ms` of 0 means unknown."""

    task_id: TaskId
    attempt: Attempt
    cpu_milli: int
    memory_mb: int
    accelerators: int
    run_time_ms: int
    name: str


@dataclass(frozen=True, slots=True)
class StartMessage:
    """Body of `POST /tasks/start`.

    `lease_until_ms` is in the worker's clock.
    """

    incarnation: Incarnation
    lease_until_ms: int
    task: TaskToStart


@dataclass(frozen=True, slots=True)
class RenewMessage:
    """Body of `POST /tasks/renew`; covers all attempts on a worker."""

    incarnation: Incarnation
    lease_until_ms: int
    tasks: tuple[tuple[TaskId, Attempt], ...]


@dataclass(frozen=True, slots=True)
class ForgetMessage:
    """Body of `POST /tasks/forget`."""

    tasks: tuple[tuple[TaskId, Attempt], ...]


@dataclass(frozen=True, slots=True)
class StateReply:
    """Answer to a start or an order with the attempt's state at `clock_ms`."""

    state: AttemptState
    clock_ms: int


@dataclass(frozen=True, slots=True)
class ClockReply:
    """Answer to a renewal or a forget message."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """Answer of a worker that refused a message, which had no effect."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """One attempt in a report; its usage is `report_age_ms` old."""

    task_id: TaskId
    attempt: Attempt
    state: AttemptState
    cpu_milli: int
    memory_mb: int
    run_ms: int
    lease_until_ms: int
    report_age_ms: int

    @property
    def key(self) -> AttemptKey:
        """Returns the key of the attempt."""
        return AttemptKey(self.task_id, self.attempt)


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Body of the answer to `GET /report`."""

    incarnation: Incarnation
    clock_ms: int
    tasks: tuple[AttemptReport, ...]


__all__ = (
    'AttemptKey',
    'AttemptReport',
    'AttemptState',
    'ClockReply',
    'ForgetMessage',
    'Refusal',
    'RefusalReason',
    'RenewMessage',
    'StartMessage',
    'StateReply',
    'TaskToStart',
    'WorkerDescription',
    'WorkerReport',
)
