"""Shared context and listener of a leader's sessions with targets."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from radishlift.cell.ports import HoldReport, StartVerdict, TargetCalls
from radishlift.cell.settings import CellSettings
from radishlift.core.clock import Clock
from radishlift.steps.ids import FencingToken, TaskKey

if TYPE_CHECKING:
    from radishlift.cell.sessions import TargetSession


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

    def on_crashed(self, session: 'TargetSession') -> None:
        """Handles the end of a target's process, before its attempts end."""

    def on_lease_expired(self, session: 'TargetSession') -> None:
        """Handles the end of all attempts of an unreachable target."""

    def on_reachability_changed(self, session: 'TargetSession') -> None:
        """Handles a change of `target.is_reachable`."""

    def on_fenced(self) -> None:
        """Handles a call rejected by a target that has a later leader."""

    async def wait_committed(self) -> None:
        """Waits until all earlier changes are committed."""


@dataclass(frozen=True, slots=True)
class SessionContext:
    """Dependencies and settings of all sessions of a leader.

    `may_renew_leases` returns whether leases may be renewed.
    """

    calls: TargetCalls
    listener: SessionListener
    settings: CellSettings
    clock: Clock
    fencing_token: FencingToken
    max_lease_ms: int
    may_renew_leases: Callable[[], bool]


__all__ = ('SessionContext', 'SessionListener')
