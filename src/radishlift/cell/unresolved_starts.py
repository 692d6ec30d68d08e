"""Starts of one target that may still take effect."""

from collections.abc import Iterator

from radishlift.cell.ports import HoldReport
from radishlift.steps.ids import TaskKey


class UnresolvedStarts:
    """Attempts whose start calls were not answered and are not blocked.

    A late call may also reach a new process of the target, which knows none of
    the blocks of the earlier one.
    """

    def __init__(self) -> None:
        self._unanswered: set[tuple[TaskKey, int]] = set()
        self._unblocked: set[tuple[TaskKey, int]] = set()

    def __iter__(self) -> Iterator[tuple[TaskKey, int]]:
        return iter(tuple(self._unblocked))

    def add(self, key: TaskKey, attempt: int) -> None:
        """Adds an attempt after a start call without an answer."""
        self._unanswered.add((key, attempt))
        self._unblocked.add((key, attempt))

    def resolve(self, key: TaskKey, attempt: int) -> None:
        """Records that the process has started or blocked an attempt."""
        self._unblocked.discard((key, attempt))

    def reopen(self, report: HoldReport | None = None) -> bool:
        """Adds all attempts again that a new process does not list.

        Returns whether there are any.
        """
        reopened = set(self._unanswered)
        if report is not None:
            reopened -= {(run.key, run.attempt) for run in report.running}
            reopened -= {(end.key, end.attempt) for end in report.ended}
        self._unblocked |= reopened
        return bool(reopened)


__all__ = ('UnresolvedStarts',)
