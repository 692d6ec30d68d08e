"""Determines which attempts are missing in a target's lists."""

from collections.abc import Iterator

from radishlift.cell.ports import HoldReport
from radishlift.core.logs import log_event
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
        self, report: HoldReport, requested_at_ms: int
    ) -> Iterator[tuple[TaskKey, int]]:
        """Yields allocated attempts that a report should have contained."""
        if not report.has_all_ended:
            # An attempt that is missing may have ended, and is listed later.
            log_event(
                'ends_incomplete',
                target=self._target.entry.target_id,
                ended_count=len(report.ended),
                last_sequence=report.last_sequence,
            )
            return
        listed = {running.key for running in report.running}
        listed.update(ended.key for ended in report.ended)
        for key, allocation in list(self._target.allocations.items()):
            is_starting = self.is_starting(key, allocation.attempt)
            is_due = self._resolved_at_ms.get(key, 0) < requested_at_ms
            if key in listed or is_starting or not is_due:
                continue
            log_event(
                'attempt_missing',
                task=key,
                attempt=allocation.attempt,
                target=self._target.entry.target_id,
                incarnation=report.incarnation,
            )
            yield key, allocation.attempt


__all__ = ('ExpectedListing',)
