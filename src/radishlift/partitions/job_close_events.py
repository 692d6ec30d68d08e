"""Events for callers that wait until a job is cancelled or has ended."""

import asyncio
from typing import Any

from radishlift.core.ids import JobId
from radishlift.placement.jobs import job_id_of
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.records import JobCancelled, TaskEnded


class JobCloseEvents:
    """Signals the cancellations of a partition when their jobs are closed."""

    def __init__(self, tables: PartitionTables) -> None:
        self._tables = tables
        self._events: dict[JobId, asyncio.Event] = {}

    def event_of(self, job_id: JobId) -> asyncio.Event:
        """Returns an event that is set when the job is cancelled or ends."""
        return self._events.setdefault(job_id, asyncio.Event())

    def signal(self, job_id: JobId) -> None:
        """Sets the event of a job that was closed."""
        event = self._events.pop(job_id, None)
        if event is not None:
            event.set()

    def observe(self, decided: Any) -> None:
        """Signals the job that a record closes, if any."""
        match decided:
            case JobCancelled():
                self.signal(decided.job_id)
            case TaskEnded() if self._events:
                job_id = job_id_of(decided.task_id)
                row = self._tables.jobs.row_of.get(job_id)
                if row is None or self._tables.jobs.is_ended(row):
                    self.signal(job_id)


__all__ = ('JobCloseEvents',)
