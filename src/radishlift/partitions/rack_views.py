"""Views of the racks of a partition, and its pending rack moves."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.ids import PartitionId, RackId
from radishlift.core.logs import log_event
from radishlift.partitions.partition_log import PartitionLog
from radishlift.partitions.rack_drains import RackDrains
from radishlift.partitions.rack_moves import NO_PARTITION, RackStep, RackView
from radishlift.partitions.rack_records import RackHoldings
from radishlift.partitions.rack_rows import RackRows
from radishlift.partitions.worker_assignment import WorkerAssignment

PENDING_LOG_INTERVAL_MS: Final = 60_000
"""Interval at which a pending move is logged again."""


class RackViews:
    """Builds the views of the racks that concern a partition.

    `unresolved` are racks whose rows may name this partition although the
    configuration does not: racks that were released, and racks that an earlier
    document assigned to it, which a holder with that document may still pass on
    to it.
    """

    def __init__(
        self,
        partition_id: PartitionId,
        holdings: RackHoldings,
        rows: RackRows,
        log: PartitionLog,
        drains: RackDrains,
    ) -> None:
        self.assignment: WorkerAssignment | None = None
        self.unresolved: set[RackId] = set(holdings.released)
        self._partition_id = partition_id
        self._holdings = holdings
        self._rows = rows
        self._log = log
        self._drains = drains
        self._release_positions: dict[RackId, int] = {}

    def set_assignment(self, assignment: WorkerAssignment) -> bool:
        """Stores a configuration; returns whether racks may have moved."""
        previous = self.assignment
        self.assignment = assignment
        if previous is None:
            return True
        if previous.document.partitions == assignment.document.partitions:
            return False
        self.unresolved.update(self._assigned_racks(previous))
        return True

    def build_all(self, assignment: WorkerAssignment) -> dict[RackId, RackView]:
        """Returns the view of each rack that concerns the partition."""
        held = self._holdings.held.keys()
        racks = self._assigned_racks(assignment) | held | self.unresolved
        return {
            rack: self._build_view(rack, assignment) for rack in sorted(racks)
        }

    def mark_released(self, rack: RackId) -> None:
        """Marks a rack as released by the last record of the log."""
        self.unresolved.add(rack)
        self._release_positions[rack] = self._log.last_position

    def mark_resolved(self, rack: RackId) -> None:
        """Marks a rack as needing no further step."""
        self.unresolved.discard(rack)
        self._release_positions.pop(rack, None)

    def _assigned_racks(self, assignment: WorkerAssignment) -> set[RackId]:
        partition = assignment.document.partitions.get(self._partition_id)
        return set(map(RackId, partition.racks)) if partition else set()

    def _build_view(
        self, rack: RackId, assignment: WorkerAssignment
    ) -> RackView:
        held_serial = self._holdings.held.get(rack, 0)
        assignee = assignment.partition_of.get(rack, NO_PARTITION)
        is_vacant = True
        if held_serial and assignee != self._partition_id:
            is_vacant = self._drains.is_vacant(rack, assignment)
        release_position = self._release_positions.get(rack, 0)
        return RackView(
            self._partition_id,
            assignee,
            held_serial,
            self._holdings.released.get(rack, 0),
            self._rows.last_read(rack),
            release_position <= self._log.journal.durable_position,
            is_vacant,
        )


@dataclass(slots=True)
class PendingRack:
    """A rack whose move is not finished for this partition.

    `row_names` is the partition that the row names, as last read.
    """

    step: RackStep
    since_ms: int
    logged_ms: int
    row_names: PartitionId = NO_PARTITION


class PendingRacks:
    """The pending racks of a partition, for status, logs and poll intervals."""

    def __init__(self, partition_id: PartitionId, clock: Clock) -> None:
        self.racks: dict[RackId, PendingRack] = {}
        self._partition_id = partition_id
        self._clock = clock

    @property
    def is_draining(self) -> bool:
        """Returns whether a rack is being drained."""
        return any(
            pending.step is RackStep.drain for pending in self.racks.values()
        )

    def waited_ms(self, rack: RackId) -> int:
        """Returns for how many ms a rack has been pending here."""
        return self._clock.monotonic_ms() - self.racks[rack].since_ms

    def update(
        self,
        views: dict[RackId, RackView],
        steps: dict[RackId, RackStep],
    ) -> None:
        """Stores the next step of each rack and logs long waits."""
        for resolved in self.racks.keys() - steps.keys():
            del self.racks[resolved]
        now_ms = self._clock.monotonic_ms()
        for rack, step in steps.items():
            if step is RackStep.rest:
                self.racks.pop(rack, None)
                continue
            pending = self.racks.setdefault(
                rack,
                PendingRack(step, now_ms, now_ms),
            )
            pending.step = step
            row = views[rack].row
            pending.row_names = row.partition_id if row else NO_PARTITION
            if now_ms - pending.logged_ms >= PENDING_LOG_INTERVAL_MS:
                pending.logged_ms = now_ms
                self._log(rack, pending)

    def _log(self, rack: RackId, pending: PendingRack) -> None:
        log_event(
            'rack_move_pending',
            rack=rack,
            partition=self._partition_id,
            step=pending.step.value,
            waited_ms=self.waited_ms(rack),
            row_names=pending.row_names,
        )


__all__ = ('PendingRack', 'PendingRacks', 'RackViews')
