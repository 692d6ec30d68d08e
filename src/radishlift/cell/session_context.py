"""What the sessions of a leader share, and whom they tell."""

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
    """What a session tells the scheduler."""

    def on_report(self, session: 'TargetSession', report: HoldReport) -> None:
        """Takes a target's lists."""

    def on_started(self, key: TaskKey) -> None:
        """Takes a task that a target has begun."""

    def on_not_started(
        self,
        session: 'TargetSession',
        key: TaskKey,
        attempt: int,
        verdict: StartVerdict,
    ) -> None:
        """Takes an attempt that surely never runs."""

    def on_lease_expired(self, session: 'TargetSession') -> None:
        """Takes the end of all attempts of a target that does not answer."""

    def on_reachability_changed(self, session: 'TargetSession') -> None:
        """Takes a target that answers, or not any more."""

    def on_fenced(self) -> None:
        """Takes the proof that a later leader gives orders."""

    async def wait_committed(self) -> None:
        """Waits until all changes so far are committed."""


@dataclass(frozen=True, slots=True)
class SessionContext:
    """What all sessions of a leader share."""

    calls: TargetCalls
    listener: SessionListener
    settings: CellSettings
    clock: Clock
    fencing_token: FencingToken
    max_lease_ms: int
    may_renew_leases: Callable[[], bool]


__all__ = ('SessionContext', 'SessionListener')
