"""Cancels that are stored, also of jobs that never arrived."""

from collections.abc import Iterable

from radishlift.core.clock import Clock
from radishlift.core.ids import JobId


class CancelTable:
    """Ids of cancelled jobs, and when this leader first saw each cancel.

    Times are monotonic, in milliseconds. A cancel that must stay counts as
    seen again.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_at_ms: dict[JobId, int] = {}

    def __contains__(self, job_id: JobId) -> bool:
        return job_id in self._seen_at_ms

    def add(self, job_id: JobId) -> None:
        """Adds a cancel; ignores known ones."""
        self._seen_at_ms.setdefault(job_id, self._clock.monotonic_ms())

    def discard(self, job_id: JobId) -> None:
        """Removes a cancel, if it is known."""
        self._seen_at_ms.pop(job_id, None)

    def renew(self, job_id: JobId) -> None:
        """Keeps a cancel as if it were seen now."""
        self._seen_at_ms[job_id] = self._clock.monotonic_ms()

    def list_seen_before(self, limit_ms: int) -> Iterable[JobId]:
        """Lists the cancels that were first seen before a time."""
        return [
            job_id
            for job_id, seen_at_ms in self._seen_at_ms.items()
            if seen_at_ms < limit_ms
        ]


__all__ = ('CancelTable',)
