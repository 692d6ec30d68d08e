"""Engine, journal and dispatcher of a recovered partition.

A record changes the state at once. Its effects wait until its journal row is
durable: starts, orders, acknowledgements, and permission for workers to forget
ended attempts.
"""

import asyncio
from collections.abc import Iterable
from typing import Any

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.core.logs import log_event
from radishlift.journal.partition_journal import PartitionJournal
from radishlift.journal.recovery import RecoveryResult
from radishlift.journal.snapshot_writer import SnapshotWriter
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.engine_effects import EngineEffects
from radishlift.partitions.job_close_events import JobCloseEvents
from radishlift.partitions.partition_log import PartitionLog
from radishlift.partitions.partition_racks import PartitionRacks
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.previous_owners import PreviousOwnerMonitor
from radishlift.partitions.quarantines import QuarantineMonitor
from radishlift.partitions.quota_shares import PartitionQuotaShares
from radishlift.partitions.states import PartitionStates
from radishlift.partitions.worker_assignment import WorkerAssignment
from radishlift.partitions.worker_events import PartitionWorkerEvents
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.fleet import ANY_SIZE
from radishlift.placement.jobs import Priority, job_id_of
from radishlift.placement.records import (
    JobAccepted,
    TaskPlaced,
)
from radishlift.workers.dispatcher import Dispatcher


class OpenPartition:
    """One recovered partition with its components."""

    def __init__(
        self,
        claim: OwnerClaim,
        parts: DaemonParts,
        states: PartitionStates,
        recovered: RecoveryResult,
        dispatcher_type: type[Dispatcher] = Dispatcher,
    ) -> None:
        self.claim = claim
        self.states = states
        settings = parts.settings
        self._parts = parts
        journal = PartitionJournal(
            parts.store,
            claim,
            recovered,
            settings.journal,
            states.dump,
        )
        self.log = PartitionLog(journal, states)
        self.engine = PlacementEngine(states.placement, settings.placement)
        # While the worker sizes of other partitions are unknown, any job may
        # fit there.
        self.engine.observe_worker_sizes((ANY_SIZE,))
        self.quota_shares = PartitionQuotaShares(
            states,
            self.engine,
            settings.quotas,
            claim,
        )
        self.previous_owners = PreviousOwnerMonitor(parts, claim, states.owners)
        tables = states.placement.tables
        self.worker_events = PartitionWorkerEvents(
            self.engine, tables, parts.clock, self.request_tick
        )
        self.dispatcher = dispatcher_type(
            parts.client,
            settings.workers,
            parts.clock,
            self.worker_events,
            self.previous_owners.leases,
        )
        self.effects = EngineEffects(
            tables,
            self.log,
            self.dispatcher,
            parts,
        )
        self._snapshot_writer = SnapshotWriter(
            parts.store,
            parts.object_store,
            claim,
            settings.journal,
            recovered.parts,
        )
        self.quarantines = QuarantineMonitor(
            claim.partition_id,
            tables,
            parts.clock.wall_ms(),
        )
        self.job_close_events = JobCloseEvents(tables)
        self.racks = PartitionRacks(
            claim,
            parts,
            states,
            self.log,
            self.engine,
            self.dispatcher,
            self.worker_events,
        )
        self._document_version: ConfigVersion | None = None
        self._is_tick_requested = True
        self._last_tick_ms = 0
        self._wall_ms = 0

    def set_assignment(self, assignment: WorkerAssignment) -> None:
        """Applies the assigned workers and the configuration document."""
        self.racks.set_assignment(assignment)
        # A new configuration makes the engine rebuild its queue, so it is
        # applied only when the version has changed.
        if assignment.document.version != self._document_version:
            self._document_version = assignment.document.version
            self.quota_shares.use_document(assignment.document)
            self.engine.apply_config(assignment.document)
            self.request_tick()

    def request_tick(self) -> None:
        """Requests a tick as soon as `tick_interval_ms` allows it."""
        self._is_tick_requested = True
        self._parts.activity.set()

    def is_tick_due(self, now_ms: int) -> bool:
        """Returns whether the interval since the last tick is over."""
        settings = self._parts.settings.partitions
        passed_ms = now_ms - self._last_tick_ms
        if self._is_tick_requested:
            return passed_ms >= settings.tick_interval_ms
        if self.is_quiet:
            return passed_ms >= settings.quiet_interval_ms
        return passed_ms >= settings.idle_interval_ms

    @property
    def is_quiet(self) -> bool:
        """Returns whether nothing happens here until a caller's request.

        False while the journal rejects records: it must be probed, so that the
        partition accepts jobs again soon after an outage.
        """
        tables = self.states.placement.tables
        has_jobs = len(tables.jobs.row_of) > len(tables.ended_jobs)
        is_done = not (has_jobs or tables.holds or self.states.hand_offs.open)
        return is_done and self.log.journal.refusal() is None

    def tick(self) -> Failure | None:
        """Runs one tick of the engine and appends its records.

        A failure means that the partition must be closed.
        """
        self._last_tick_ms = self._parts.clock.monotonic_ms()
        self._is_tick_requested = False
        self.racks.drop_unheld_workers()
        try:
            records = self.engine.tick(self.now_ms())
        except Exception as error:
            # An exception in one partition must not stop the loop that runs
            # all of them.
            log_event(
                'tick_failed',
                partition=self.claim.partition_id,
                reason=repr(error),
            )
            return Failure(ErrorKind.internal, repr(error))
        for record in records:
            failure = self.log.append(record)
            if failure is not None:
                return failure
            self._handle_applied(record)
        for order in self.engine.pop_orders():
            self.effects.send_order(order)
        if records:
            # These decisions may enable further ones.
            self.request_tick()
        self.log.run_durable_effects()
        self.request_flush(records)
        return None

    def add_applied(self, record: Any) -> Failure | None:
        """Appends a record that was already applied outside a tick.

        Fails with `not_owner` when the journal is closed.
        """
        failure = self.log.append(record)
        if failure is None:
            self._handle_applied(record)
        self.request_tick()
        self.request_flush((record,))
        return failure

    async def wait_durable(self, timeout_ms: int) -> Failure | None:
        """Waits until all records appended so far are journaled."""
        self.request_flush(())
        self._parts.activity.set()
        return await self.log.journal.wait_durable(
            self.log.last_position,
            timeout_ms,
        )

    async def flush_journal(self) -> Failure | None:
        """Writes pending records and runs their effects."""
        flushed = await self.log.journal.flush()
        self.log.run_durable_effects()
        if isinstance(flushed, Failure):
            return flushed
        self._parts.scheduler.spend(flushed.rows_count - 1)
        captured = self.log.journal.pop_captured_state()
        if captured is not None:
            self._snapshot_writer.set_next_state(captured)
        return await self._write_snapshot()

    async def monitor_previous_owners(self) -> None:
        """Collects evidence until no previous owner can hold a lease."""
        interval_ms = self._parts.settings.partitions.evidence_interval_ms
        while self.states.owners.has_previous_owner(self.claim.epoch):
            await self.previous_owners.check(self.log)
            self.request_flush(())
            self._parts.activity.set()
            await asyncio.sleep(interval_ms / 1000)

    def now_ms(self) -> int:
        """Returns wall time in ms that never goes back."""
        self._wall_ms = max(self._wall_ms, self._parts.clock.wall_ms())
        return self._wall_ms

    def request_flush(self, records: Iterable[Any]) -> None:
        """Requests a flush if records wait or the store must be probed."""
        if self.log.has_pending or self.log.journal.refusal() is not None:
            self._parts.scheduler.request(
                self.claim.partition_id,
                is_urgent=any(self._is_urgent(record) for record in records),
            )

    def _handle_applied(self, record: Any) -> None:
        self.effects.add_record(record)
        self.quarantines.observe(record, self._wall_ms)
        self.job_close_events.observe(record)

    def _is_urgent(self, record: Any) -> bool:
        match record:
            case JobAccepted():
                return record.spec.priority is Priority.urgent
            case TaskPlaced():
                jobs = self.states.placement.tables.jobs
                row = jobs.row_of.get(job_id_of(record.task_id))
                if row is not None:
                    return jobs.spec[row].priority is Priority.urgent
        return False

    async def _write_snapshot(self) -> Failure | None:
        spare_rows = self._parts.scheduler.spare_rows()
        if not self._snapshot_writer.has_work or spare_rows < 1:
            return None
        written = await self._snapshot_writer.step(spare_rows)
        if isinstance(written, Failure):
            return written if ends_ownership(written) else None
        self._parts.scheduler.spend_spare(written)
        return None


def ends_ownership(failure: Failure) -> bool:
    """Returns whether a journal failure ends the ownership."""
    return failure.kind in {ErrorKind.not_owner, ErrorKind.internal}


__all__ = ('OpenPartition', 'ends_ownership')
