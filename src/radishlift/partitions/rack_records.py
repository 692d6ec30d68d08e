"""Journaled state of the racks that a partition may place tasks on.

A partition uses the workers of a rack only while its own journal shows that it
holds the rack. A paused or deposed owner, whose journal inserts fail, therefore
can't use a rack that a later owner has released.
"""

from dataclasses import dataclass
from typing import Any, ClassVar

from radishlift.core.ids import RackId
from radishlift.journal.records import record


@record('rack_taken')
@dataclass(frozen=True, slots=True)
class RackTaken:
    """The row of the rack names this partition at this serial."""

    rack: RackId
    serial: int


@record('rack_released')
@dataclass(frozen=True, slots=True)
class RackReleased:
    """No task of this partition can run on the rack any longer."""

    rack: RackId
    serial: int


class RackHoldings:
    """Serials of held and of released racks.

    A released serial is never held again: to take the rack back, the partition
    needs a later serial and therefore another write of the row.
    """

    record_types: ClassVar[tuple[type, ...]] = (RackTaken, RackReleased)

    def __init__(self) -> None:
        self.held: dict[RackId, int] = {}
        self.released: dict[RackId, int] = {}

    def apply(self, change: Any) -> None:
        """Applies one record; applying it again changes nothing."""
        released = self.released.get(change.rack, 0)
        match change:
            case RackTaken() if change.serial > released:
                self.held[change.rack] = change.serial
            case RackReleased():
                self.released[change.rack] = max(released, change.serial)
                if self.held.get(change.rack, 0) <= change.serial:
                    self.held.pop(change.rack, None)

    def dump(self) -> Any:
        """Returns the state as plain data for a snapshot."""
        return {'held': dict(self.held), 'released': dict(self.released)}

    def load(self, plain: Any) -> None:
        """Replaces the state with that of a snapshot."""
        self.held = dict(plain['held'])
        self.released = dict(plain['released'])


__all__ = ('RackHoldings', 'RackReleased', 'RackTaken')
