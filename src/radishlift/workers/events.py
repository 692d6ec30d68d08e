"""What the dispatcher tells the owner of a partition."""

from collections.abc import Sequence
from typing import Protocol

from radishlift.core.ids import Incarnation, WorkerId
from radishlift.placement.jobs import UsageReport, WorkerInfo
from radishlift.workers.messages import AttemptKey
from radishlift.workers.session import EndedAttempt


class WorkerEvents(Protocol):
    """Receives what the workers of a partition report."""

    def worker_seen(self, info: WorkerInfo) -> None:
        """A worker answers; its incarnation and capacity."""

    def worker_unreachable(
        self,
        worker_id: WorkerId,
        incarnation: Incarnation,
    ) -> None:
        """A worker stopped answering; its attempts may still run."""

    def worker_lost(
        self, worker_id: WorkerId, incarnation: Incarnation
    ) -> None:
        """No attempt of this incarnation of a worker runs any more."""

    def usage_reported(
        self,
        worker_id: WorkerId,
        reports: Sequence[UsageReport],
    ) -> None:
        """Lagged usage of the running attempts of a worker."""

    def attempt_ended(self, ended: EndedAttempt) -> None:
        """An attempt surely does not run any more."""

    def is_confirmed_ended(self, key: AttemptKey) -> bool:
        """Tells whether the journal shows that an attempt has ended.

        False for attempts of tasks that this partition does not know: those
        may belong to another partition.
        """


__all__ = ('WorkerEvents',)
