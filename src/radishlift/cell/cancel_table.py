"""Cancels that are stored, also of jobs that never arrived."""

from collections.abc import Iterable

from radishlift.cell.tables import cancel_key, cancelled_job
from radishlift.core.clock import Clock
from radishlift.core.ids import JobId
from radishlift.steps.runs import JobRun


class CancelTable:
    """Keys of cancels, and when this leader first saw each of them.

    Times are monotonic, in milliseconds. A cancel that must stay counts as
    seen again.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_at_ms: dict[str, int] = {}

    def has(self, job: JobRun) -> bool:
        """Returns whether a job's own workspace has cancelled it."""
        return cancel_key(job.spec.job_id, job.workspace) in self._seen_at_ms

    def add(self, key: str) -> None:
        """Adds a cancel; ignores known ones."""
        self._seen_at_ms.setdefault(key, self._clock.monotonic_ms())

    def discard(self, key: str) -> None:
        """Removes a cancel, if it is known."""
        self._seen_at_ms.pop(key, None)

    def discard_job(self, job_id: JobId) -> None:
        """Removes all cancels of a job."""
        for key in tuple(self._seen_at_ms):
            if cancelled_job(key) == job_id:
                self.discard(key)

    def renew(self, key: str) -> None:
        """Keeps a cancel as if it were seen now."""
        self._seen_at_ms[key] = self._clock.monotonic_ms()

    def list_seen_before(self, limit_ms: int) -> Iterable[str]:
        """Lists the keys of cancels that were first seen before a time."""
        return [
            key
            for key, seen_at_ms in self._seen_at_ms.items()
            if seen_at_ms < limit_ms
        ]


__all__ = ('CancelTable',)
