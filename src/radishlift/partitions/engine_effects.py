"""Passes records and orders of the engine to the dispatcher."""

from collections.abc import Iterator
from typing import Any

from radishlift.core.ids import Attempt, JobId
from radishlift.partitions.partition_log import PartitionLog
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.worker_events import is_current
from radishlift.placement.jobs import job_id_of
from radishlift.placement.orders import Order
from radishlift.placement.partition_tables import PartitionTables
from radishlift.placement.records import (
    GangCommitted,
    TaskEnded,
    TaskPlaced,
)
from radishlift.workers.dispatcher import Dispatcher
from radishlift.workers.messages import AttemptKey, TaskToStart
from radishlift.workers.session import AttemptToRun


class EngineEffects:
    """Delays the effects of records until their journal rows are durable."""

    def __init__(
        self,
        tables: PartitionTables,
        log: PartitionLog,
        dispatcher: Dispatcher,
        parts: DaemonParts,
    ) -> None:
        self._clock = parts.clock
        self._observe_waiting_ms = parts.observe_waiting
        self._tables = tables
        self._log = log
        self._dispatcher = dispatcher
        self._cancelled_starts: list[TaskPlaced] = []

    def add_record(self, record: Any) -> None:
        """Schedules the effect of the record that was appended last."""
        match record:
            case TaskPlaced():
                self._log.run_when_durable(lambda: self.start(record))
            case GangCommitted():
                self._log.run_when_durable(
                    lambda: self._start_gang_part(record.job_id)
                )
            case TaskEnded():
                key = AttemptKey(record.task_id, record.attempt)
                self._log.run_when_durable(lambda: self._dispatcher.forget(key))

    def send_order(self, order: Order) -> None:
        """Sends an order once the records appended before it are durable."""
        key = AttemptKey(order.task_id, order.attempt)
        kind = order.kind
        self._log.run_when_durable(
            lambda: self._dispatcher.send_order(key, kind)
        )

    def start(self, placed: TaskPlaced) -> None:
        """Starts a journaled attempt unless it has ended in the meantime."""
        if any(placed is cancelled for cancelled in self._cancelled_starts):
            self._cancelled_starts = [
                cancelled
                for cancelled in self._cancelled_starts
                if cancelled is not placed
            ]
            return
        key = AttemptKey(placed.task_id, placed.attempt)
        if is_current(self._tables, key):
            row = self._tables.task_row(placed.task_id)
            self._dispatcher.start_attempt(
                self._build_attempt(row or 0, is_inherited=False)
            )
            self._report_waiting_time(placed)

    def cancel_start(self, placed: TaskPlaced) -> None:
        """Cancels the start of a placement that was rolled back.

        The same job may be submitted again, with an attempt of the same
        number. That attempt must not start before its own row is durable.
        """
        self._cancelled_starts.append(placed)

    def resume_attempts(self) -> int:
        """Passes all attempts that may run to the dispatcher.

        Returns their number.
        """
        workers = self._tables.workers
        for worker_id, row in workers.row_of.items():
            incarnation = workers.worker_info[row].incarnation
            self._dispatcher.add_known_worker(worker_id, incarnation)
        attempts = list(self._inherited_attempts())
        for attempt in attempts:
            self._dispatcher.start_attempt(attempt)
        return len(attempts)

    def _inherited_attempts(self) -> Iterator[AttemptToRun]:
        tasks = self._tables.tasks
        for row, job_row in enumerate(tasks.job_row):
            if job_row >= 0 and tasks.is_live(row):
                yield self._build_attempt(row, is_inherited=True)

    def _start_gang_part(self, job_id: JobId) -> None:
        """Starts the members of a gang part that have not ended."""
        job_row = self._tables.jobs.row_of.get(job_id)
        if job_row is None:
            return
        tasks = self._tables.tasks
        for row in self._tables.jobs.task_rows[job_row].values():
            if tasks.is_live(row):
                self._dispatcher.start_attempt(
                    self._build_attempt(row, is_inherited=False)
                )

    def _report_waiting_time(self, placed: TaskPlaced) -> None:
        if placed.attempt > 1:
            return
        jobs = self._tables.jobs
        job_row = jobs.row_of[job_id_of(placed.task_id)]
        waiting_ms = self._clock.wall_ms() - jobs.accepted_at_ms[job_row]
        self._observe_waiting_ms(
            jobs.spec[job_row].department, max(0, waiting_ms)
        )

    def _build_attempt(self, row: int, *, is_inherited: bool) -> AttemptToRun:
        tasks = self._tables.tasks
        spec = self._tables.jobs.spec[tasks.job_row[row]]
        worker = self._tables.workers.worker_info[tasks.worker_row[row]]
        reserved = tasks.reserved[row]
        return AttemptToRun(
            worker.worker_id,
            tasks.incarnation[row],
            TaskToStart(
                tasks.task_id[row],
                Attempt(tasks.attempt[row]),
                reserved.cpu_milli,
                reserved.memory_mb,
                reserved.accelerators_count,
                spec.run_time_ms,
                spec.name,
            ),
            is_inherited,
        )


__all__ = ('EngineEffects',)
