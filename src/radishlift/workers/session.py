"""Connection state and attempts of one worker as known to its owner."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, Final

from transitions import Machine

from radishlift.core.ids import Incarnation, WorkerId
from radishlift.placement.jobs import TaskState, WorkerInfo
from radishlift.placement.orders import OrderKind
from radishlift.workers.leases import WorkerClock
from radishlift.workers.messages import (
    AttemptKey,
    TaskToStart,
)


@unique
class SessionState(Enum):
    """Connection state of a worker; `gone` means removed."""

    connecting = 'connecting'
    connected = 'connected'
    unreachable = 'unreachable'
    gone = 'gone'


_OPEN_STATES: Final = (
    SessionState.connecting,
    SessionState.connected,
    SessionState.unreachable,
)

# All sessions share one machine: building one is expensive, adding a model
# is not.
SESSION_MACHINE: Final = Machine(
    model=None,
    states=SessionState,
    initial=SessionState.connecting,
    auto_transitions=False,
)
SESSION_MACHINE.add_transition(
    'answered', list(_OPEN_STATES), SessionState.connected
)
SESSION_MACHINE.add_transition(
    'missed', list(_OPEN_STATES), SessionState.unreachable
)
SESSION_MACHINE.add_transition('removed', list(_OPEN_STATES), SessionState.gone)


@dataclass(frozen=True, slots=True)
class AttemptToRun:
    """A journaled attempt that is to run on a worker.

    `is_inherited` means that a previous owner may have started it.
    """

    worker_id: WorkerId
    incarnation: Incarnation
    task: TaskToStart
    is_inherited: bool = False

    @property
    def key(self) -> AttemptKey:
        """Returns the key of the attempt."""
        return AttemptKey(self.task.task_id, self.task.attempt)


@dataclass(slots=True)
class LiveAttempt:
    """An attempt that may run.

    `is_sent` is set before the first start is sent, `is_confirmed` when the
    worker has reported the attempt as running, `is_ended` when it is confirmed
    ended. `started_ms` is when it started to run, on the monotonic clock of
    this host, or None until its worker has reported that. `answered_at_ms` is
    when the latest start request completed. `is_absent` means that a report
    requested after that does not list the attempt.
    """

    to_run: AttemptToRun
    is_sent: bool = False
    is_confirmed: bool = False
    is_ended: bool = False
    is_in_flight: bool = False
    is_queued: bool = False
    started_ms: int | None = None
    is_absent: bool = False
    answered_at_ms: int = 0
    pending_orders: dict[OrderKind, None] = field(default_factory=dict)

    @property
    def may_run(self) -> bool:
        """Returns whether any owner may have sent its start."""
        return self.is_sent or self.to_run.is_inherited

    def mark_absent(self, requested_at_ms: int) -> None:
        """Records that a report requested at that time does not list it."""
        self.is_confirmed = False
        # A start that was in flight meanwhile may have reached the worker
        # after the report was made.
        is_start_resolved = self.answered_at_ms < requested_at_ms
        self.is_absent = is_start_resolved and not self.is_in_flight

    @property
    def needs_send(self) -> bool:
        """Returns whether a start or an order is to be sent."""
        if self.is_ended:
            return False
        return bool(self.pending_orders) or not self.is_confirmed

    def set_started(self, run_ms: int, started_ms: int) -> None:
        """Stores the start time unless it is known or `run_ms` is 0."""
        if self.started_ms is None and run_ms:
            self.started_ms = started_ms


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that is confirmed ended."""

    key: AttemptKey
    state: TaskState
    reason: str


@dataclass(slots=True)
class PollState:
    """Time and purpose of the next poll of a worker, on the monotonic clock.

    `is_wanted` is set when only a poll can resolve the outcome of a request,
    `is_for_end` when the next poll is scheduled for a likely end of a task.
    """

    next_ms: int = 0
    next_renewal_ms: int = 0
    is_running: bool = False
    is_wanted: bool = False
    is_for_end: bool = False


class WorkerSession:
    """State of one worker; `SESSION_MACHINE` changes `state`.

    `is_known` means that this partition has already used the worker, so
    unknown running attempts do not keep it from being used.
    """

    state: SessionState
    answered: Any
    missed: Any
    removed: Any

    def __init__(self, worker_id: WorkerId, added_at_ms: int) -> None:
        self.added_at_ms = added_at_ms
        self.is_listed = False
        self.worker_id = worker_id
        self.incarnation: Incarnation | None = None
        self.info: WorkerInfo | None = None
        self.clock = WorkerClock()
        self.attempts: dict[AttemptKey, LiveAttempt] = {}
        self.to_stop: dict[AttemptKey, None] = {}
        self.to_forget: dict[AttemptKey, None] = {}
        self.queue: deque[LiveAttempt] = deque()
        self.sender_count = 0
        self.poll = PollState()
        self.is_published = False
        self.is_known = False
        SESSION_MACHINE.add_model(self)

    @property
    def is_answering(self) -> bool:
        """Returns whether the latest poll was answered."""
        return self.state is SessionState.connected

    @property
    def is_removed(self) -> bool:
        """Returns whether the session was closed."""
        return self.state is SessionState.gone

    @property
    def has_pending_work(self) -> bool:
        """Returns whether the worker must not be dropped yet.

        This is so while it has attempts or is polled, or while it answers and
        has attempts to stop or forget.
        """
        if self.attempts or self.poll.is_running:
            return True
        return self.is_answering and bool(self.to_forget or self.to_stop)

    def switch_incarnation(self, incarnation: Incarnation) -> None:
        """Resets the state for a new incarnation, whose clock is unrelated."""
        self.incarnation = incarnation
        self.clock = WorkerClock()
        self.poll.next_renewal_ms = 0
        self.to_stop.clear()
        self.to_forget.clear()

    def close(self) -> None:
        """Marks the session as removed and detaches it from the machine."""
        if not self.is_removed:
            self.removed()
        SESSION_MACHINE.remove_model(self)


__all__ = (
    'SESSION_MACHINE',
    'AttemptToRun',
    'EndedAttempt',
    'LiveAttempt',
    'SessionState',
    'WorkerSession',
)
