"""Starts of one target that may still take effect."""

from collections.abc import Collection, Iterator

from radishlift.steps.ids import TaskKey


class UnresolvedStarts:
    """Attempts whose start calls were not answered and are not blocked.

    A late call may also reach a new process of the target, which knows none of
    the blocks of the earlier one. After `late_call_ms` none takes effect any
    more.
    """

    def __init__(self) -> None:
        self._unanswered_at_ms: dict[tuple[TaskKey, int], int] = {}
        self._unblocked: set[tuple[TaskKey, int]] = set()

    def __iter__(self) -> Iterator[tuple[TaskKey, int]]:
        return iter(tuple(self._unblocked))

    def add(self, key: TaskKey, attempt: int, now_ms: int) -> None:
        """Adds an attempt after a start call without an answer."""
        self._unanswered_at_ms[key, attempt] = now_ms
        self._unblocked.add((key, attempt))

    def resolve(self, key: TaskKey, attempt: int) -> None:
        """Records that the process has started or blocked an attempt."""
        self._unblocked.discard((key, attempt))

    def reopen(
        self,
        now_ms: int,
        late_call_ms: int,
        present: Collection[tuple[TaskKey, int]] = (),
    ) -> bool:
        """Lets all attempts be blocked again, by a new process of the target.

        Those that are `present` there need no block. Returns whether there are
        any others.
        """
        self._unanswered_at_ms = {
            attempt: sent_at_ms
            for attempt, sent_at_ms in self._unanswered_at_ms.items()
            if now_ms - sent_at_ms <= late_call_ms
        }
        reopened = self._unanswered_at_ms.keys() - set(present)
        self._unblocked |= reopened
        return bool(reopened)


__all__ = ('UnresolvedStarts',)
