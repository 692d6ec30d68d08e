"""Start times of quarantines, and log events of their start and end."""

from typing import Any

from radishlift.core.ids import PartitionId, WorkerId
from radishlift.core.logs import log_event
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.records import (
    WorkerObserved,
    WorkerQuarantined,
    WorkerRemoved,
    WorkerReturned,
)


class QuarantineMonitor:
    """Tracks the quarantines of one partition by its records.

    Quarantines that a previous owner started count from the takeover.
    """

    def __init__(
        self,
        partition_id: PartitionId,
        tables: PartitionTables,
        now_ms: int,
    ) -> None:
        self._partition_id = partition_id
        self._workers = tables.workers
        self._since_ms = {
            worker_id: now_ms
            for worker_id, row in tables.workers.row_of.items()
            if tables.workers.quarantine_reason[row]
        }

    def since_ms(self, worker_id: WorkerId) -> int:
        """Returns the wall time in ms a quarantine counts from; else 0."""
        return self._since_ms.get(worker_id, 0)

    def observe(self, record: Any, now_ms: int) -> None:
        """Logs the start or end of a quarantine that a record causes."""
        match record:
            case WorkerQuarantined():
                self._since_ms[record.worker_id] = now_ms
                log_event(
                    'worker_quarantined',
                    worker=record.worker_id,
                    partition=self._partition_id,
                    reason=record.reason,
                )
            case WorkerReturned():
                self._log_end(record.worker_id, 'probe finished', now_ms)
            case WorkerObserved() if self._is_not_quarantined(
                record.worker.worker_id
            ):
                self._log_end(record.worker.worker_id, 'restarted', now_ms)
            case WorkerRemoved() if self._is_not_quarantined(record.worker_id):
                self._log_end(record.worker_id, 'gone', now_ms)

    def _is_not_quarantined(self, worker_id: WorkerId) -> bool:
        row = self._workers.row_of.get(worker_id)
        return row is None or not self._workers.quarantine_reason[row]

    def _log_end(self, worker_id: WorkerId, reason: str, now_ms: int) -> None:
        since_ms = self._since_ms.pop(worker_id, None)
        if since_ms is not None:
            log_event(
                'worker_quarantine_ended',
                worker=worker_id,
                partition=self._partition_id,
                reason=reason,
                lasted_ms=now_ms - since_ms,
            )


__all__ = ('QuarantineMonitor',)
