"""Targets that run tasks, and the allocations on them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique

from radishlift.core.ids import Address, DataCentreId, ServiceName
from radishlift.steps.ids import TargetId, TargetIncarnation, TaskKey
from radishlift.steps.spec import Amounts
from radishlift.steps.workspace_use import NO_CHARGE, Charge, WorkspaceUse


@unique
class TargetState(Enum):
    """Whether a target accepts new tasks."""

    ready = 'ready'
    draining = 'draining'


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """Entry that a target publishes about itself.

    `remaining_ms` is how long a draining target will run at least.
    """

    target_id: TargetId
    life: TargetIncarnation
    service: ServiceName
    address: Address
    data_centre: DataCentreId
    state: TargetState
    capacity: Amounts
    labels: frozenset[str]
    remaining_ms: int = 0


@unique
class Suspicion(Enum):
    """Whether an attempt may have crashed its target.

    `shared` means that other attempts may have crashed it as well, and
    `unconfirmed` that the attempt may not even have started, or that it may
    have run for long.
    """

    none = 'none'
    unconfirmed = 'unconfirmed'
    shared = 'shared'
    sole = 'sole'


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """What is known of the crash of a target that an attempt may have caused.

    `process` is the one that crashed, None if it is unknown. `delay_ms` is the
    time from the first start call to the first failed call; None if that call
    timed out. `suspects_count` counts a gang once.
    """

    process: TargetIncarnation | None
    delay_ms: int | None
    suspects_count: int


@dataclass(slots=True)
class Allocation:
    """Capacity allocated to an attempt until its end is known.

    `expected_end_ms` is a monotonic time; 0 if the start time is unknown.
    `sent_at_ms` is when the latest start call was sent, and `first_sent_at_ms`
    when the first was; None if none was.
    `is_confirmed` is whether the target has answered that it started,
    `is_unanswered` whether a start call got no answer, so that it may still be
    carried out, `has_timed_out` whether one got none in time, and
    `is_inherited` whether an earlier leader started it. `may_predate_process`
    is whether that may have been before the target restarted. `started_at_ms`
    is when the answer to its only start call arrived; None if it is unknown.
    `crash` is why it is a suspect. `charge` is what it uses of the limit of
    its workspace.
    """

    attempt: int
    amounts: Amounts
    expected_end_ms: int = 0
    sent_at_ms: int | None = None
    first_sent_at_ms: int | None = None
    is_confirmed: bool = False
    is_unanswered: bool = False
    has_timed_out: bool = False
    is_inherited: bool = False
    may_predate_process: bool = False
    started_at_ms: int | None = None
    suspicion: Suspicion = Suspicion.none
    crash: CrashRecord | None = None
    charge: Charge = NO_CHARGE

    def record_sent(self, now_ms: int) -> int | None:
        """Records a start call; returns when the previous one was sent."""
        previous_ms = self.sent_at_ms
        self.sent_at_ms = now_ms
        if self.first_sent_at_ms is None:
            self.first_sent_at_ms = now_ms
        self.suspicion = Suspicion.none
        return previous_ms

    def retract_sent(self, previous_ms: int | None) -> None:
        """Restores the time of the previous call after one was not sent."""
        self.sent_at_ms = previous_ms
        if previous_ms is None:
            self.first_sent_at_ms = None


@dataclass(slots=True)
class Target:
    """A target and its allocations.

    `is_reachable` and `cooldown_until_ms` keep new tasks off targets that do
    not respond or that fail the tasks they start. `answered_at_ms` is when
    the latest answered call was sent. `failed_at_ms` is when a call first
    failed since the process was last known to run; None if none has.
    `has_timed_out` is whether that call got no answer in time, so that the
    process may have ended at another time. `process` is the one whose reports
    are used; None before the first.
    `has_restarted` is whether a process has ended, and `has_left` whether the
    target has removed its entry. A watched target is polled more often.
    All targets of a table share one `workspace_use`.
    """

    entry: TargetEntry
    allocations: dict[TaskKey, Allocation] = field(default_factory=dict)
    used: Amounts = Amounts()
    is_listed: bool = True
    is_reachable: bool = True
    cooldown_until_ms: int = 0
    consecutive_failures_count: int = 0
    answered_at_ms: int = 0
    failed_at_ms: int | None = None
    has_timed_out: bool = False
    process: TargetIncarnation | None = None
    has_restarted: bool = False
    has_left: bool = False
    is_watched: bool = False
    workspace_use: WorkspaceUse = field(default_factory=WorkspaceUse)
    free_capacity: Amounts = field(init=False)

    def __post_init__(self) -> None:
        self.update_entry(self.entry)

    def update_entry(self, entry: TargetEntry) -> None:
        """Stores the latest entry and updates the free capacity."""
        self.entry = entry
        self.free_capacity = entry.capacity.plus(self.used, -1)

    def accepts(self, now_ms: int) -> bool:
        """Returns whether new tasks may be placed on this target."""
        return (
            self.is_listed
            and self.is_reachable
            and self.entry.state is TargetState.ready
            and now_ms >= self.cooldown_until_ms
        )

    def record_answer(self, sent_at_ms: int) -> None:
        """Records that a call sent at a monotonic time was answered."""
        self.answered_at_ms = max(self.answered_at_ms, sent_at_ms)

    def record_failure(
        self, now_ms: int, *, has_timed_out: bool = False
    ) -> None:
        """Records that a call has failed, or that the process has ended."""
        if self.failed_at_ms is None:
            self.failed_at_ms = now_ms
            self.has_timed_out = has_timed_out

    def record_unanswered(
        self, key: TaskKey, attempt: int, *, has_timed_out: bool
    ) -> None:
        """Records that a start call of an attempt got no answer.

        `has_timed_out` is whether it got none in time.
        """
        allocation = self.allocations.get(key)
        if allocation is not None and allocation.attempt == attempt:
            allocation.is_unanswered = True
            allocation.has_timed_out |= has_timed_out

    def record_restart(self) -> None:
        """Records that a process of the target has ended."""
        self.has_restarted = True

    def record_running(self) -> None:
        """Records that the process is known to run."""
        self.failed_at_ms = None
        self.has_timed_out = False

    def record_start(
        self, key: TaskKey, attempt: int, now_ms: int
    ) -> int | None:
        """Records that a start call of an allocated attempt is sent.

        Returns when the previous call was sent, if there was one.
        """
        allocation = self.allocations.get(key)
        if allocation is None or allocation.attempt != attempt:
            return None
        return allocation.record_sent(now_ms)

    def confirm_start(
        self, key: TaskKey, attempt: int, now_ms: int | None = None
    ) -> None:
        """Records that the target has started an attempt.

        `now_ms` is None if an earlier start call may have started it.
        """
        allocation = self.allocations.get(key)
        if allocation is not None and allocation.attempt == attempt:
            allocation.is_confirmed = True
            allocation.started_at_ms = now_ms

    def clear_suspicion(self, key: TaskKey, attempt: int) -> None:
        """Records that an attempt runs on after the crash of a process."""
        allocation = self.allocations.get(key)
        if allocation is not None and allocation.attempt == attempt:
            allocation.suspicion = Suspicion.none

    def retract_start(
        self, key: TaskKey, attempt: int, previous_ms: int | None
    ) -> None:
        """Restores the time of the previous call after one was not sent."""
        allocation = self.allocations.get(key)
        if allocation is not None and allocation.attempt == attempt:
            allocation.retract_sent(previous_ms)

    def allocate(
        self,
        key: TaskKey,
        attempt: int,
        amounts: Amounts,
        expected_end_ms: int = 0,
        charge: Charge = NO_CHARGE,
    ) -> None:
        """Allocates capacity for an attempt, replacing an earlier one."""
        self.release(key, attempt)
        self.allocations[key] = Allocation(
            attempt, amounts, expected_end_ms, charge=charge
        )
        self.workspace_use.add(charge)
        self.used = self.used.plus(amounts)
        self.free_capacity = self.free_capacity.plus(amounts, -1)

    def release(self, key: TaskKey, attempt: int) -> bool:
        """Frees the capacity of an attempt and of earlier ones of its task.

        Returns False if there is no such allocation.
        """
        allocation = self.allocations.get(key)
        if allocation is None or allocation.attempt > attempt:
            return False
        del self.allocations[key]
        self.workspace_use.remove(allocation.charge)
        self.used = self.used.plus(allocation.amounts, -1)
        self.free_capacity = self.free_capacity.plus(allocation.amounts)
        return True


class TargetTable:
    """All targets by id, and what workspaces use on them."""

    def __init__(self) -> None:
        self.workspace_use = WorkspaceUse()
        self._targets: dict[TargetId, Target] = {}

    def __iter__(self) -> Iterator[Target]:
        return iter(self._targets.values())

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, target_id: TargetId) -> Target | None:
        """Returns a target, or None if it is unknown."""
        return self._targets.get(target_id)

    def update(self, entry: TargetEntry) -> Target:
        """Adds a target or replaces its entry."""
        target = self._targets.get(entry.target_id)
        if target is None:
            target = Target(entry, workspace_use=self.workspace_use)
            self._targets[entry.target_id] = target
        target.update_entry(entry)
        target.is_listed = True
        target.has_left = False
        return target

    def remove(self, target_id: TargetId) -> None:
        """Removes a target."""
        self._targets.pop(target_id, None)


__all__ = (
    'Allocation',
    'CrashRecord',
    'Suspicion',
    'Target',
    'TargetEntry',
    'TargetState',
    'TargetTable',
)
