"""Determines which attempts are missing in a target's lists."""

from collections.abc import Iterator
from dataclasses import dataclass

from radishlift.cell.ports import HoldReport
from radishlift.core.logs import log_event
from radishlift.steps.ids import TaskKey
from radishlift.steps.targets import Target


@dataclass(slots=True)
class _Start:
    """An attempt that is being started, unless it was withdrawn."""

    attempt: int
    is_withdrawn: bool = False


class ExpectedListing:
    """Compares a target's lists with the allocations on it.

    It knows which attempts are being started and stopped, until they end.
    """

    def __init__(self, target: Target) -> None:
        self._target = target
        self._starting: dict[TaskKey, _Start] = {}
        # By task: its attempt, and when the start of this was resolved.
        self._resolved: dict[TaskKey, tuple[int, int]] = {}
        self._stopping: set[tuple[TaskKey, int]] = set()

    def expect_start(self, key: TaskKey, attempt: int) -> None:
        """Records that an attempt is being started.

        Lists need not contain the attempt until its start is finished.
        """
        self._starting[key] = _Start(attempt)

    def is_starting(self, key: TaskKey, attempt: int) -> bool:
        """Returns whether the start of an attempt is in progress."""
        start = self._starting.get(key)
        return start is not None and start.attempt == attempt

    def may_start(self, key: TaskKey, attempt: int) -> bool:
        """Returns whether a start call of an attempt may still be sent.

        It may not once the attempt has ended, or is to be stopped.
        """
        start = self._starting.get(key)
        if start is None or start.attempt != attempt:
            return False
        return not start.is_withdrawn

    def expect_stop(self, key: TaskKey, attempt: int) -> None:
        """Records that an attempt is being stopped."""
        self._stopping.add((key, attempt))
        start = self._starting.get(key)
        if start is not None and start.attempt == attempt:
            start.is_withdrawn = True

    def is_stopping(self, key: TaskKey, attempt: int) -> bool:
        """Returns whether an attempt is being stopped and may run on."""
        return (key, attempt) in self._stopping

    def finish_stop(self, key: TaskKey, attempt: int) -> None:
        """Records that no more calls stop an attempt."""
        self._stopping.discard((key, attempt))

    def finish_start(self, key: TaskKey, attempt: int, now_ms: int) -> None:
        """Records that lists requested from now on must show the attempt."""
        if self.is_starting(key, attempt):
            self._resolved[key] = attempt, now_ms
            del self._starting[key]

    def cancel_start(self, key: TaskKey, attempt: int) -> None:
        """Records that an expected attempt will not be started."""
        if self.is_starting(key, attempt):
            del self._starting[key]

    def forget(self, key: TaskKey, attempt: int) -> None:
        """Discards an attempt that has ended."""
        self.cancel_start(key, attempt)
        self.finish_stop(key, attempt)
        if self._resolved.get(key, (attempt, 0))[0] == attempt:
            self._resolved.pop(key, None)

    def clear(self) -> None:
        """Discards all starts when the target runs nothing any more."""
        self._starting.clear()
        self._resolved.clear()

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
            _, resolved_at_ms = self._resolved.get(key, (0, 0))
            is_due = resolved_at_ms < requested_at_ms
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
