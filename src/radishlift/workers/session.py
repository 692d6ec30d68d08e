"""Connection state and attempts of one worker, as its owner knows them."""

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
    """Whether a worker answers."""

    connecting = 'connecting'
    connected = 'connected'
    unreachable = 'unreachable'
    gone = 'gone'


_OPEN_STATES: Final = (
    SessionState.connecting,
    SessionState.connected,
    SessionState.unreachable,
)

# One machine serves all sessions: it is expensive to build, not to extend.
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

    `is_inherited` tells whether a former owner may have started it.
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
    worker has told its state, `is_ended` when it surely does not run.
    `began_ms` is when it began to run, on the monotonic clock of this host, as
    far as its worker has told.
    `answered_at_ms` is when the latest start has ended, and `is_absent` tells
    whether a report that was requested after that does not have it.
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
        """Tells whether any owner may have sent its start."""
        return self.is_sent or self.to_run.is_inherited

    def mark_absent(self, requested_at_ms: int) -> None:
        """Takes in a report, requested at that time, that does not have it."""
        self.is_confirmed = False
        # A start that was in flight meanwhile may have arrived later.
        is_start_resolved = self.answered_at_ms < requested_at_ms
        self.is_absent = is_start_resolved and not self.is_in_flight

    @property
    def needs_send(self) -> bool:
        """Tells whether something is to be sent for it."""
        if self.is_ended:
            return False
        return bool(self.pending_orders) or not self.is_confirmed

    def set_started(self, run_ms: int, started_ms: int) -> None:
        """Notes when it began, unless that is known or it has not run yet."""
        if self.started_ms is None and run_ms:
            self.started_ms = started_ms


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that surely does not run any more."""

    key: AttemptKey
    state: TaskState
    reason: str


@dataclass(slots=True)
class PollState:
    """When a worker is polled next, on the monotonic clock.

    `is_wanted` is set by an exchange that only a poll can settle, `is_for_end`
    when the next poll looks for the end of a task.
    """

    next_ms: int = 0
    next_renewal_ms: int = 0
    is_running: bool = False
    is_wanted: bool = False
    is_for_end: bool = False


class WorkerSession:
    """State of one worker; `state` is driven by `SESSION_MACHINE`."""

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
        """Tells whether the latest exchange succeeded."""
        return self.state is SessionState.connected

    @property
    def is_removed(self) -> bool:
        """Tells whether the worker was removed."""
        return self.state is SessionState.gone

    @property
    def has_pending_work(self) -> bool:
        """Tells whether the worker has attempts or is to be told of some."""
        if self.attempts or self.poll.is_running:
            return True
        return self.is_answering and bool(self.to_forget or self.to_stop)

    def switch_incarnation(self, incarnation: Incarnation) -> None:
        """Begins another incarnation, whose clock is unrelated."""
        self.incarnation = incarnation
        self.clock = WorkerClock()
        self.poll.next_renewal_ms = 0
        self.to_stop.clear()
        self.to_forget.clear()

    def close(self) -> None:
        """Ends the session and releases it from the machine."""
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
