"""Tells the processes of a target apart that have the same id."""

from radishlift.cell.fences import TargetFence
from radishlift.cell.leases import TargetLease
from radishlift.cell.ports import HoldReport
from radishlift.core.logs import log_event
from radishlift.steps.ids import FencingToken, TargetIncarnation, TaskKey
from radishlift.steps.targets import Allocation, Target


class RestartWatch:
    """Notices restarts of a target, and has each new process fenced.

    `incarnation` is the process whose reports are used; None before the first.
    A new process shows first in an answer or in the target's entry. Until it
    has answered a call with a raised token it may carry out earlier calls.
    `has_answered` is whether such a process has answered another call.
    """

    def __init__(self, target: Target, fence: TargetFence) -> None:
        self._target = target
        self._fence = fence
        self.incarnation: TargetIncarnation | None = None
        self.has_answered = False
        # When the latest process was noticed that has not been fenced yet.
        self._noticed_at_ms: int | None = None
        self._is_wait_logged = False

    def record_entry(self, life: TargetIncarnation, now_ms: int) -> bool:
        """Handles an entry of another process; returns whether it is new."""
        if life == self.incarnation:
            return False
        self._fence.raise_token()
        self._noticed_at_ms = now_ms
        return True

    def needs_fence(
        self, report: HoldReport, token: FencingToken, now_ms: int
    ) -> bool:
        """Returns whether earlier calls may take effect in a new process.

        If so, the next call fences it.
        """
        incarnation = report.incarnation
        if incarnation is None or self.incarnation in {None, incarnation}:
            return False
        if self._fence.is_fenced(incarnation, token):
            return False
        self._fence.raise_for(incarnation)
        self.has_answered = True
        self._noticed_at_ms = now_ms
        log_event(
            'target_restarted',
            target=self._target.entry.target_id,
            incarnation=incarnation,
            token=self._fence.token,
        )
        return True

    def accept(self, incarnation: TargetIncarnation | None) -> bool:
        """Records whose report is used; returns whether it is another one's."""
        is_other = incarnation not in {None, self.incarnation}
        # An answer of the earlier process may arrive after the entry.
        if is_other or incarnation in {None, self._target.entry.life}:
            self._noticed_at_ms = None
        if is_other:
            self.incarnation = incarnation
            self.has_answered = False
        self._is_wait_logged = False
        return is_other

    def list_possibly_running(
        self, lease: TargetLease, now_ms: int, listed_at_ms: int
    ) -> set[TaskKey]:
        """Lists the tasks that a new process may run, or start by a late call.

        That process does not answer. `listed_at_ms` is when the latest list was
        requested. Without an entry of the target none is considered to run,
        and a start does nothing once the process's clock has passed its end.
        That of a start which an earlier leader sent isn't known.
        """
        if not self._target.is_listed:
            return set()
        noticed_at_ms = self._noticed_at_ms
        is_young = noticed_at_ms is not None and not (
            lease.has_outlived_calls(now_ms - noticed_at_ms)
        )
        return {
            key
            for key, allocation in self._target.allocations.items()
            if (is_young and _may_be_started(allocation, listed_at_ms))
            or (self.incarnation is None and allocation.may_predate_process)
        }

    def log_wait(self, kept: set[TaskKey]) -> None:
        """Logs once that tasks wait for the target's answer."""
        if kept and not self._is_wait_logged:
            self._is_wait_logged = True
            log_event(
                'tasks_kept',
                target=self._target.entry.target_id,
                tasks_count=len(kept),
                process=self._target.entry.life,
            )


def _may_be_started(allocation: Allocation, listed_at_ms: int) -> bool:
    return (
        allocation.is_unanswered
        or allocation.is_inherited
        or (allocation.sent_at_ms or 0) > listed_at_ms
    )


__all__ = ('RestartWatch',)
