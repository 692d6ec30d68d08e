"""Determines which attempts are missing in a target's lists."""

from collections.abc import Iterator

from radishlift.steps.ids import TaskKey
from radishlift.steps.targets import Target


class ExpectedListing:
    """Compares a target's lists with the allocations on it."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._starting: dict[TaskKey, int] = {}
        self._resolved_at_ms: dict[TaskKey, int] = {}

    def expect_start(self, key: TaskKey, attempt: int) -> None:
        """Records that an attempt is being started.

        Lists need not contain the attempt until its start is finished.
        """
        self._starting[key] = attempt

    def is_starting(self, key: TaskKey, attempt: int) -> bool:
        """Returns whether the start of an attempt is in progress."""
        return self._starting.get(key) == attempt

    def finish_start(self, key: TaskKey, attempt: int, now_ms: int) -> None:
        """Records that lists requested from now on must show the attempt."""
        self._resolved_at_ms[key] = now_ms
        if self.is_starting(key, attempt):
            del self._starting[key]

    def cancel_start(self, key: TaskKey, attempt: int) -> None:
        """Records that an expected attempt will not be started."""
        if self.is_starting(key, attempt):
            del self._starting[key]

    def forget(self, key: TaskKey) -> None:
        """Discards the start time of a task that has ended."""
        self._resolved_at_ms.pop(key, None)

    def clear(self) -> None:
        """Discards all starts when the target runs nothing any more."""
        self._starting.clear()
        self._resolved_at_ms.clear()

    def list_missing(
        self,
        listed: set[TaskKey],
        requested_at_ms: int,
    ) -> Iterator[tuple[TaskKey, int]]:
        """Yields allocated attempts that a list should have contained."""
        for key, allocation in list(self._target.allocations.items()):
            is_starting = self.is_starting(key, allocation.attempt)
            is_listed = self._resolved_at_ms.get(key, 0) < requested_at_ms
            if key not in listed and is_listed and not is_starting:
                yield key, allocation.attempt


__all__ = ('ExpectedListing',)
