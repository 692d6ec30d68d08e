"""Targets that run tasks, their room and what is placed on them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique

from radishlift.core.ids import Address, DataCentreId, ServiceName
from radishlift.steps.ids import TargetId, TargetIncarnation, TaskKey
from radishlift.steps.spec import Amounts


@unique
class TargetState(Enum):
    """Whether a target takes new tasks."""

    ready = 'ready'
    draining = 'draining'

    @property
    def is_stopped_when_removed(self) -> bool:
        """Tells whether a target in this state runs nothing once unlisted."""
        return self is TargetState.draining


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """What a target says of itself.

    `remaining_ms` is how long a draining target stays at least.
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


@dataclass(frozen=True, slots=True)
class Allocation:
    """An attempt on a target, which holds its room until its end is known."""

    attempt: int
    amounts: Amounts


@dataclass(slots=True)
class Target:
    """A target and its bookings; `room` is the free part of the capacity.

    `is_reachable` and `distrusted_until_ms` keep new tasks away from targets
    that don't answer or fail what they start.
    """

    entry: TargetEntry
    allocations: dict[TaskKey, Allocation] = field(default_factory=dict)
    used: Amounts = Amounts()
    is_listed: bool = True
    is_reachable: bool = True
    cooldown_until_ms: int = 0
    consecutive_failures_count: int = 0
    free_capacity: Amounts = field(init=False)

    def __post_init__(self) -> None:
        self.update_entry(self.entry)

    def update_entry(self, entry: TargetEntry) -> None:
        """Takes what the target says of itself by now."""
        self.entry = entry
        self.free_capacity = entry.capacity.plus(self.used, -1)

    def accepts(self, now_ms: int) -> bool:
        """Tells whether new tasks may be placed here."""
        return (
            self.is_listed
            and self.is_reachable
            and self.entry.state is TargetState.ready
            and now_ms >= self.cooldown_until_ms
        )

    def allocate(self, key: TaskKey, attempt: int, amounts: Amounts) -> None:
        """Takes room for an attempt."""
        self.release(key, attempt)
        self.allocations[key] = Allocation(attempt, amounts)
        self.used = self.used.plus(amounts)
        self.free_capacity = self.free_capacity.plus(amounts, -1)

    def release(self, key: TaskKey, attempt: int) -> bool:
        """Frees the room of an attempt; False if it holds none."""
        allocation = self.allocations.get(key)
        if allocation is None or allocation.attempt > attempt:
            return False
        del self.allocations[key]
        self.used = self.used.plus(allocation.amounts, -1)
        self.free_capacity = self.free_capacity.plus(allocation.amounts)
        return True


class TargetTable:
    """All targets by id."""

    def __init__(self) -> None:
        self._targets: dict[TargetId, Target] = {}

    def __iter__(self) -> Iterator[Target]:
        return iter(self._targets.values())

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, target_id: TargetId) -> Target | None:
        """Finds a target."""
        return self._targets.get(target_id)

    def update(self, entry: TargetEntry) -> Target:
        """Adds a target, or replaces what is known of it."""
        target = self._targets.get(entry.target_id)
        if target is None:
            target = Target(entry)
            self._targets[entry.target_id] = target
        target.update_entry(entry)
        target.is_listed = True
        return target

    def remove(self, target_id: TargetId) -> None:
        """Forgets a target."""
        self._targets.pop(target_id, None)


__all__ = (
    'Allocation',
    'Target',
    'TargetEntry',
    'TargetState',
    'TargetTable',
)
