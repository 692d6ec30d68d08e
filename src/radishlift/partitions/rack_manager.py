"""Takes and releases the racks of one partition.

While no move is pending, nothing is read, written or polled.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from radishlift.core.errors import ErrorKind
from radishlift.core.ids import PartitionId, RackId
from radishlift.core.logs import log_event
from radishlift.partitions.messages import LookAtRack
from radishlift.partitions.partition_log import PartitionLog
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.rack_drains import RackDrains
from radishlift.partitions.rack_moves import (
    NO_PARTITION,
    RackStep,
    RackView,
    next_row,
    next_step,
)
from radishlift.partitions.rack_records import (
    RackHoldings,
    RackReleased,
    RackTaken,
)
from radishlift.partitions.rack_rows import RackRows
from radishlift.partitions.rack_views import PendingRacks, RackViews
from radishlift.partitions.worker_assignment import WorkerAssignment

MAX_POLL_BACKOFF_FACTOR: Final = 16
"""Maximum interval between two checks, in multiples of `rack_poll_ms`."""
# One step inserts rows and one takes racks; a conflict needs another insert.
_STARTUP_STEPS_COUNT: Final = 3

Views = dict[RackId, RackView]
Steps = dict[RackId, RackStep]


class RackManager:
    """Carries out the steps of `rack_moves` for one owned partition.

    `on_change` is called after a rack was taken or released, so that the
    partition opens and closes workers.
    """

    def __init__(
        self,
        partition_id: PartitionId,
        parts: DaemonParts,
        holdings: RackHoldings,
        log: PartitionLog,
        drains: RackDrains,
        on_change: Callable[[], None],
    ) -> None:
        self.pending = PendingRacks(partition_id, parts.clock)
        self._partition_id = partition_id
        self._parts = parts
        self._log = log
        self._drains = drains
        self._on_change = on_change
        self._rows = RackRows(parts.store)
        self._views = RackViews(
            partition_id,
            holdings,
            self._rows,
            log,
            drains,
        )
        self._stale_rows: set[RackId] = set()
        self._change_signal = asyncio.Event()

    def set_assignment(self, assignment: WorkerAssignment) -> None:
        """Stores the configuration and the host list."""
        if self._views.set_assignment(assignment):
            self._change_signal.set()

    def request_check(self, rack: RackId) -> None:
        """Schedules a read of a row that another partition asked for."""
        self._views.unresolved.add(rack)
        self._stale_rows.add(rack)
        self._change_signal.set()

    async def take_free_racks(self) -> None:
        """Takes free racks with one write of rows, before a partition runs."""
        for _ in range(_STARTUP_STEPS_COUNT):
            if not await self.run_steps():
                return

    async def run_forever(self) -> None:
        """Runs steps while moves are pending, until cancelled."""
        poll_ms = self._parts.settings.partitions.rack_poll_ms
        wait_ms = poll_ms
        while True:
            self._change_signal.clear()
            if await self.run_steps():
                wait_ms = poll_ms
                await asyncio.sleep(0)
                continue
            if self.pending.is_draining:
                wait_ms = poll_ms
            await self._wait_for_change(wait_ms if self.pending.racks else None)
            wait_ms = min(wait_ms * 2, poll_ms * MAX_POLL_BACKOFF_FACTOR)

    async def run_steps(self) -> bool:
        """Runs the steps that are possible now.

        Returns whether further steps may be possible immediately.
        """
        stale = sorted(self._stale_rows)
        self._stale_rows.clear()
        has_changes = await self._rows.read(stale)
        assignment = self._views.assignment
        if assignment is None:
            return False
        views = self._views.build_all(assignment)
        steps = {rack: next_step(view) for rack, view in views.items()}
        self.pending.update(views, steps)
        if self._apply_steps(views, steps, assignment):
            self._on_change()
            has_changes = True
        has_changes |= await self._write_rows(views, steps)
        has_changes |= await self._read_rows(steps)
        return has_changes

    def _apply_steps(
        self,
        views: Views,
        steps: Steps,
        assignment: WorkerAssignment,
    ) -> bool:
        """Takes, drains and releases; returns whether records were added."""
        has_records = False
        for rack, step in steps.items():
            match step:
                case RackStep.take:
                    has_records |= self._take_rack(rack, views[rack])
                case RackStep.release:
                    has_records |= self._release_rack(
                        rack, views[rack], assignment
                    )
                case RackStep.drain if self._drains.continue_drain(
                    rack, assignment
                ):
                    self._parts.activity.set()
                case RackStep.rest:
                    self._drains.finish(rack)
                    self._views.mark_resolved(rack)
        if has_records:
            self._parts.scheduler.request(self._partition_id, is_urgent=True)
            self._parts.activity.set()
        return has_records

    def _take_rack(self, rack: RackId, view: RackView) -> bool:
        serial = view.row.serial if view.row else 0
        if self._log.apply([RackTaken(rack, serial)]) is not None:
            return False
        log_event(
            'rack_taken',
            rack=rack,
            partition=self._partition_id,
            serial=serial,
        )
        return True

    def _release_rack(
        self,
        rack: RackId,
        view: RackView,
        assignment: WorkerAssignment,
    ) -> bool:
        refusal = self._log.journal.refusal()
        if refusal and refusal.kind is not ErrorKind.store_unavailable:
            return False
        serial = max(view.held_serial, view.row.serial if view.row else 0)
        # The journal must not show workers of a released rack as present.
        for removed in self._drains.remove_workers(rack, assignment):
            self._log.append(removed)
        self._log.apply([RackReleased(rack, serial)])
        self._views.mark_released(rack)
        self._drains.finish(rack)
        log_event(
            'rack_released',
            rack=rack,
            partition=self._partition_id,
            serial=serial,
        )
        return True

    async def _write_rows(self, views: Views, steps: Steps) -> bool:
        new_rows = {
            rack: next_row(views[rack], step)
            for rack, step in steps.items()
            if step in {RackStep.claim, RackStep.pass_on}
        }
        if not new_rows:
            return False
        has_changes = await self._rows.write(new_rows)
        for rack, row in new_rows.items():
            known = self._rows.last_read(rack)
            is_written = known is not None and known.serial == row.serial
            if is_written and steps[rack] is RackStep.pass_on:
                log_event(
                    'rack_passed_on',
                    rack=rack,
                    partition=self._partition_id,
                    to=row.partition_id,
                    serial=row.serial,
                )
                await self._notify_owner(rack, row.partition_id)
        return has_changes

    async def _read_rows(self, steps: Steps) -> bool:
        waiting = [
            rack for rack, step in steps.items() if step is RackStep.wait
        ]
        unread = [rack for rack, step in steps.items() if step is RackStep.read]
        has_changes = await self._rows.read([*waiting, *unread])
        if not has_changes:
            for rack in waiting:
                known = self._rows.last_read(rack)
                if known is not None:
                    await self._notify_owner(rack, known.partition_id)
        return has_changes

    async def _notify_owner(
        self, rack: RackId, partition_id: PartitionId
    ) -> None:
        """Asks the owner of a partition to read the row of a rack.

        If the message is lost, the partition that waits for the rack sends it
        again.
        """
        if partition_id in {NO_PARTITION, self._partition_id}:
            return
        owner = await self._rows.owner_of(partition_id)
        if owner == self._parts.daemon_id:
            await self._parts.network.call(
                owner,
                LookAtRack(partition_id, rack),
                self._parts.settings.partitions.call_timeout_ms,
            )
        elif owner is not None:
            await self._parts.network.send(
                owner,
                LookAtRack(partition_id, rack),
            )

    async def _wait_for_change(self, timeout_ms: int | None) -> None:
        timeout_s = None if timeout_ms is None else timeout_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                await self._change_signal.wait()
        except TimeoutError:
            return


__all__ = ('RackManager',)
