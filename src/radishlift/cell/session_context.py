"""Shared context and listener of a leader's sessions with targets."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import TYPE_CHECKING, Protocol

from radishlift.cell.fences import TargetFence
from radishlift.cell.leases import InheritedLeases
from radishlift.cell.ports import HoldReport, StartVerdict, TargetCalls
from radishlift.cell.settings import CellSettings
from radishlift.cell.unrenewed_leases import UnrenewedLeases
from radishlift.core.clock import Clock
from radishlift.core.logs import log_event
from radishlift.steps.ids import FencingToken, TargetId, TaskKey

if TYPE_CHECKING:
    from radishlift.cell.sessions import TargetSession


def _always() -> bool:
    return True


@unique
class StopEvidence(Enum):
    """How a leader knows that a target runs nothing any more."""

    lease_expired = 'lease_expired'
    left = 'left'
    no_attempts = 'no_attempts'
    other_process = 'other_process'
    restarted = 'restarted'


class SessionListener(Protocol):
    """Receives the events of sessions."""

    def on_report(self, session: 'TargetSession', report: HoldReport) -> None:
        """Handles a target's lists of attempts."""

    def on_started(self, key: TaskKey) -> None:
        """Handles the start of a task."""

    def on_not_started(
        self,
        session: 'TargetSession',
        key: TaskKey,
        attempt: int,
        verdict: StartVerdict,
    ) -> None:
        """Handles an attempt that is confirmed not to run."""

    def on_crashed(self, session: 'TargetSession', *, is_proven: bool) -> None:
        """Handles the end of a target's process, before its attempts end.

        Without proof the process may run on behind a network partition.
        """

    def on_stopped(
        self,
        session: 'TargetSession',
        evidence: StopEvidence,
        kept: Collection[TaskKey] = (),
    ) -> None:
        """Handles that a target runs nothing any more, except `kept` tasks."""

    def on_reachability_changed(self, session: 'TargetSession') -> None:
        """Handles a change of `target.is_reachable`."""

    def end_term(self) -> None:
        """Ends the term, as there is a later leader or a session has failed."""

    async def wait_committed(self, timeout_ms: int) -> bool:
        """Waits until all earlier changes are committed.

        Returns False if the commit took longer than `timeout_ms`.
        """


@dataclass(frozen=True, slots=True)
class SessionContext:
    """Dependencies and settings of all sessions of a leader.

    `epoch` is the first fencing token of the term. `may_renew_leases` returns
    whether leases may be renewed, and `may_repeat_starts` whether no other
    daemon can have taken note of an end meanwhile.
    """

    calls: TargetCalls
    listener: SessionListener
    settings: CellSettings
    clock: Clock
    epoch: FencingToken
    max_lease_ms: int
    inherited_leases: InheritedLeases
    unrenewed: UnrenewedLeases
    may_renew_leases: Callable[[], bool]
    may_repeat_starts: Callable[[], bool] = _always
    _fences: dict[TargetId, TargetFence] = field(default_factory=dict)

    def open_fence(self, target_id: TargetId) -> TargetFence:
        """Returns the fence of a target for a new session.

        It outlasts the session, as a target without an entry may come back.
        """
        fence = self._fences.get(target_id)
        if fence is None:
            fence = TargetFence(self.epoch, self.listener.end_term)
            self._fences[target_id] = fence
        else:
            # Calls of the earlier session may still take effect.
            fence.raise_token()
        return fence

    def check_end(self, task: asyncio.Task[None]) -> None:
        """Reports the error of a session's task that has ended."""
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            # Without its session a target would not be used any more.
            log_event('session_failed', error=repr(error))
            self.listener.end_term()


__all__ = ('SessionContext', 'SessionListener', 'StopEvidence')
