"""Which attempts a target's list must show, and which it can't show yet."""

from collections.abc import Iterator

from radishlift.steps.ids import TaskKey
from radishlift.steps.targets import Target


class ExpectedListing:
    """Compares a target's lists with what is booked on it."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._starting: dict[TaskKey, int] = {}
        self._resolved_at_ms: dict[TaskKey, int] = {}

    def expect_start(self, key: TaskKey, attempt: int) -> None:
        """Notes that an attempt is about to be started."""
        self._starting[key] = attempt

    def is_starting(self, key: TaskKey, attempt: int) -> bool:
        """Tells whether the start of an attempt is under way."""
        return self._starting.get(key) == attempt

    def finish_start(self, key: TaskKey, attempt: int, now_ms: int) -> None:
        """Notes that lists which are asked for from now on are complete."""
        self._resolved_at_ms[key] = now_ms
        if self.is_starting(key, attempt):
            del self._starting[key]

    def cancel_start(self, key: TaskKey) -> None:
        """Notes that an expected attempt is not started after all."""
        self._starting.pop(key, None)

    def forget(self, key: TaskKey) -> None:
        """Drops what is known of a task that has ended."""
        self._resolved_at_ms.pop(key, None)

    def clear(self) -> None:
        """Gives up all starts: the process runs nothing any more."""
        self._starting.clear()
        self._resolved_at_ms.clear()

    def list_missing(
        self,
        listed: set[TaskKey],
        requested_at_ms: int,
    ) -> Iterator[tuple[TaskKey, int]]:
        """Yields booked attempts that a list should have shown."""
        for key, booking in list(self._target.allocations.items()):
            is_starting = self.is_starting(key, booking.attempt)
            is_listed = self._resolved_at_ms.get(key, 0) < requested_at_ms
            if key not in listed and is_listed and not is_starting:
                yield key, booking.attempt


__all__ = ('ExpectedListing',)
