"""Journaled state of which racks a partition may place on.

A partition uses the workers of a rack only while its own journal says that it
holds the rack, so that a paused or deposed owner, whose journal inserts fail,
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
    """Nothing of this partition can run on the rack any more."""

    rack: RackId
    serial: int


class RackHoldings:
    """Serials of the racks that are held and that were released.

    A serial that was released is never held again: taking the rack back
    needs a later serial and so another write of the row.
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
        """Replaces the state by that of a snapshot."""
        self.held = dict(plain['held'])
        self.released = dict(plain['released'])


__all__ = ('RackHoldings', 'RackReleased', 'RackTaken')
