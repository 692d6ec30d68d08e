"""Events that the dispatcher reports to the owner of a partition."""

from collections.abc import Sequence
from typing import Protocol

from radishlift.core.ids import Incarnation, WorkerId
from radishlift.placement.jobs import UsageReport, WorkerInfo
from radishlift.workers.messages import AttemptKey
from radishlift.workers.session import EndedAttempt


class WorkerEvents(Protocol):
    """Receives the events of the workers of a partition."""

    def worker_seen(self, info: WorkerInfo) -> None:
        """A worker answered with its incarnation and capacity."""

    def worker_unreachable(
        self,
        worker_id: WorkerId,
        incarnation: Incarnation,
    ) -> None:
        """A worker stopped answering; its attempts may still run."""

    def worker_lost(
        self, worker_id: WorkerId, incarnation: Incarnation
    ) -> None:
        """No attempt runs on this incarnation of a worker any more."""

    def usage_reported(
        self,
        worker_id: WorkerId,
        reports: Sequence[UsageReport],
    ) -> None:
        """Lagged usage of the running attempts of a worker."""

    def attempt_ended(self, ended: EndedAttempt) -> None:
        """An attempt is confirmed ended."""

    def is_confirmed_ended(self, key: AttemptKey) -> bool:
        """Returns whether the journal shows that an attempt has ended.

        Returns False for attempts of tasks that this partition does not know,
        as they may belong to another partition.
        """


__all__ = ('WorkerEvents',)
