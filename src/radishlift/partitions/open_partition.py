"""The parts of a recovered partition and how they work together.

Records change the state at once; their effects wait for the journal row:
starts, orders, acknowledgements and what workers may forget.
"""

import asyncio
from collections.abc import Iterable
from typing import Any

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.core.logs import log_event
from radishlift.journal.partition_journal import PartitionJournal
from radishlift.journal.recovery import Recovered
from radishlift.journal.snapshot_keeper import SnapshotKeeper
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.closed_jobs import ClosedJobs
from radishlift.partitions.dispatching import EngineEffects
from radishlift.partitions.facts import WorkerFacts
from radishlift.partitions.log import PartitionLog
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.predecessors import PredecessorWatch
from radishlift.partitions.quarantines import QuarantineLog
from radishlift.partitions.rack_workers import PartitionRacks
from radishlift.partitions.shares import PartitionShares
from radishlift.partitions.spread import WorkerAssignment
from radishlift.partitions.states import PartitionStates
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.fleet import ANY_SIZE
from radishlift.placement.jobs import Priority, job_id_of
from radishlift.placement.records import (
    JobAccepted,
    TaskPlaced,
)
from radishlift.workers.dispatcher import Dispatcher


class OpenPartition:
    """Engine, journal and dispatcher of one recovered partition."""

    def __init__(
        self,
        claim: OwnerClaim,
        parts: DaemonParts,
        states: PartitionStates,
        recovered: Recovered,
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
        # Until sizes of other partitions are known any job may fit there.
        self.engine.observe_worker_sizes((ANY_SIZE,))
        self.shares = PartitionShares(
            states,
            self.engine,
            settings.quotas,
            claim,
        )
        self.watch = PredecessorWatch(parts, claim, states.owners)
        tables = states.placement.tables
        self.facts = WorkerFacts(self.engine, tables, parts.clock, self.wake)
        self.dispatcher = dispatcher_type(
            parts.client,
            settings.workers,
            parts.clock,
            self.facts,
            self.watch.former,
        )
        self.effects = EngineEffects(
            tables,
            self.log,
            self.dispatcher,
            parts,
        )
        self._keeper = SnapshotKeeper(
            parts.store,
            parts.object_store,
            claim,
            settings.journal,
            recovered.parts,
        )
        self.quarantines = QuarantineLog(
            claim.partition_id,
            tables,
            parts.clock.wall_ms(),
        )
        self.closed_jobs = ClosedJobs(tables)
        self.racks = PartitionRacks(
            claim,
            parts,
            states,
            self.log,
            self.engine,
            self.dispatcher,
            self.facts,
        )
        self._document_version: ConfigVersion | None = None
        self._is_dirty = True
        self._last_tick_ms = 0
        self._wall_ms = 0

    def set_workers(self, workers: WorkerAssignment) -> None:
        """Takes over the workers of this partition and the host list."""
        self.racks.assign(workers)
        # The engine builds its queue anew, so it is told of changes only.
        if workers.document.version != self._document_version:
            self._document_version = workers.document.version
            self.shares.use_document(workers.document)
            self.engine.apply_config(workers.document)
            self.wake()

    def wake(self) -> None:
        """Notes that the next tick has work."""
        self._is_dirty = True
        self._parts.activity.set()

    def is_tick_due(self, now_ms: int) -> bool:
        """Tells whether the engine should be ticked."""
        settings = self._parts.settings.partitions
        passed_ms = now_ms - self._last_tick_ms
        if self._is_dirty:
            return passed_ms >= settings.tick_interval_ms
        if self.is_quiet:
            return passed_ms >= settings.quiet_interval_ms
        return passed_ms >= settings.idle_interval_ms

    @property
    def is_quiet(self) -> bool:
        """Tells whether nothing happens here unless a caller asks for it.

        A journal that refuses must be probed, so that the partition takes
        jobs again soon after an outage.
        """
        tables = self.states.placement.tables
        has_jobs = len(tables.jobs.row_of) > len(tables.ended_jobs)
        is_done = not (has_jobs or tables.holds or self.states.hand_offs.open)
        return is_done and self.log.journal.refusal() is None

    def tick(self) -> Failure | None:
        """Runs the engine once and appends its records.

        Fails when the partition must not go on.
        """
        self._last_tick_ms = self._parts.clock.monotonic_ms()
        self._is_dirty = False
        self.racks.drop_released()
        try:
            records = self.engine.tick(self.now_ms())
        except Exception as error:
            # A fault in one partition must not end the loop of the others.
            log_event(
                'tick_failed',
                partition=self.claim.partition_id,
                reason=repr(error),
            )
            return Failure(ErrorKind.internal, repr(error))
        for decided in records:
            failure = self.log.append(decided)
            if failure is not None:
                return failure
            self._bind(decided)
        for order in self.engine.pop_orders():
            self.effects.order(order)
        if records:
            # What was decided may let more be decided.
            self.wake()
        self.log.release()
        self.request_flush(records)
        return None

    def add_applied(self, decided: Any) -> Failure | None:
        """Appends a record that was applied outside a tick.

        Fails with `not_owner` when the journal is closed.
        """
        failure = self.log.append(decided)
        if failure is None:
            self._bind(decided)
        self.wake()
        self.request_flush((decided,))
        return failure

    async def wait_durable(self, timeout_ms: int) -> Failure | None:
        """Waits until all records so far are journaled."""
        self.request_flush(())
        self._parts.activity.set()
        return await self.log.journal.wait_durable(
            self.log.last_position,
            timeout_ms,
        )

    async def flush_journal(self) -> Failure | None:
        """Writes pending records and releases their effects."""
        flushed = await self.log.journal.flush()
        self.log.release()
        if isinstance(flushed, Failure):
            return flushed
        self._parts.scheduler.spend(flushed.rows_count - 1)
        captured = self.log.journal.take_captured()
        if captured is not None:
            self._keeper.offer(captured)
        return await self._keep_snapshot()

    async def watch_predecessors(self) -> None:
        """Collects evidence until no former owner can hold a lease."""
        interval_ms = self._parts.settings.partitions.evidence_interval_ms
        while self.states.owners.has_former(self.claim.epoch):
            await self.watch.check(self.log)
            self.request_flush(())
            self._parts.activity.set()
            await asyncio.sleep(interval_ms / 1000)

    def now_ms(self) -> int:
        """Tells wall time that never goes back."""
        self._wall_ms = max(self._wall_ms, self._parts.clock.wall_ms())
        return self._wall_ms

    def request_flush(self, records: Iterable[Any]) -> None:
        """Asks for a flush if records wait or the store must be probed."""
        if self.log.has_pending or self.log.journal.refusal() is not None:
            self._parts.scheduler.request(
                self.claim.partition_id,
                is_urgent=any(self._is_urgent(change) for change in records),
            )

    def _bind(self, decided: Any) -> None:
        self.effects.add(decided)
        self.quarantines.note(decided, self._wall_ms)
        self.closed_jobs.note(decided)

    def _is_urgent(self, change: Any) -> bool:
        match change:
            case JobAccepted():
                return change.spec.priority is Priority.urgent
            case TaskPlaced():
                jobs = self.states.placement.tables.jobs
                row = jobs.row_of.get(job_id_of(change.task_id))
                if row is not None:
                    return jobs.spec[row].priority is Priority.urgent
        return False

    async def _keep_snapshot(self) -> Failure | None:
        spare_rows = self._parts.scheduler.spare_rows()
        if not self._keeper.has_work or spare_rows < 1:
            return None
        written = await self._keeper.step(spare_rows)
        if isinstance(written, Failure):
            return written if is_final(written) else None
        self._parts.scheduler.spend_spare(written)
        return None


def is_final(failure: Failure) -> bool:
    """Tells whether a failure of the journal ends the ownership."""
    return failure.kind in {ErrorKind.not_owner, ErrorKind.internal}


__all__ = ('OpenPartition', 'is_final')
