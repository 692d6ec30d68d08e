"""Targets that run tasks, their room and what is placed on them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique

from radishlift.core.ids import Address, DataCentreId, ServiceName
from radishlift.steps.ids import Life, TargetId, TaskKey
from radishlift.steps.spec import Amounts


@unique
class TargetState(Enum):
    """Whether a target takes new tasks."""

    ready = 'ready'
    draining = 'draining'

    @property
    def has_left_when_removed(self) -> bool:
        """Tells whether a target in this state runs nothing once unlisted."""
        return self is TargetState.draining


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """What a target says of itself.

    `remaining_ms` is how long a draining target stays at least.
    """

    target_id: TargetId
    life: Life
    service: ServiceName
    address: Address
    data_centre: DataCentreId
    state: TargetState
    capacity: Amounts
    labels: frozenset[str]
    remaining_ms: int = 0


@dataclass(frozen=True, slots=True)
class Booking:
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
    bookings: dict[TaskKey, Booking] = field(default_factory=dict)
    used: Amounts = Amounts()
    is_listed: bool = True
    is_reachable: bool = True
    distrusted_until_ms: int = 0
    failures_in_row_count: int = 0
    room: Amounts = field(init=False)

    def __post_init__(self) -> None:
        self.renew(self.entry)

    def renew(self, entry: TargetEntry) -> None:
        """Takes what the target says of itself by now."""
        self.entry = entry
        self.room = entry.capacity.plus(self.used, -1)

    def accepts(self, now_ms: int) -> bool:
        """Tells whether new tasks may be placed here."""
        return (
            self.is_listed
            and self.is_reachable
            and self.entry.state is TargetState.ready
            and now_ms >= self.distrusted_until_ms
        )

    def book(self, key: TaskKey, attempt: int, amounts: Amounts) -> None:
        """Takes room for an attempt."""
        self.release(key, attempt)
        self.bookings[key] = Booking(attempt, amounts)
        self.used = self.used.plus(amounts)
        self.room = self.room.plus(amounts, -1)

    def release(self, key: TaskKey, attempt: int) -> bool:
        """Frees the room of an attempt; False if it holds none."""
        booking = self.bookings.get(key)
        if booking is None or booking.attempt > attempt:
            return False
        del self.bookings[key]
        self.used = self.used.plus(booking.amounts, -1)
        self.room = self.room.plus(booking.amounts)
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
        target.renew(entry)
        target.is_listed = True
        return target

    def remove(self, target_id: TargetId) -> None:
        """Forgets a target."""
        self._targets.pop(target_id, None)


__all__ = (
    'Booking',
    'Target',
    'TargetEntry',
    'TargetState',
    'TargetTable',
)
