"""Rows of the table `slots`: which daemon may use how many slots.

A row is `{"allotments": {daemon_id: {"incarnation", "slots"}}}`. The entry
of a predecessor that may still have requests running moves to the key
`daemon_id@incarnation`, so that a restarted daemon can hold slots of its own
beside it; the sum over all entries is bounded by the executor's slots.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId, Incarnation

SLOTS_TABLE: Final = 'slots'


@dataclass(frozen=True, slots=True)
class SlotOwner:
    """One run of a daemon."""

    daemon_id: DaemonId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Allotment:
    """Slots that one run of a daemon may use."""

    incarnation: Incarnation
    slots: int


@dataclass(frozen=True, slots=True)
class SlotRow:
    """The allotments of one executor."""

    allotments: dict[str, Allotment] = field(default_factory=dict)

    @property
    def allotted_count(self) -> int:
        """Counts the slots of all entries."""
        return sum(allotment.slots for allotment in self.allotments.values())

    def owners(self) -> Iterator[tuple[SlotOwner, int]]:
        """Lists the owners with their slots."""
        for key, allotment in self.allotments.items():
            daemon_id = DaemonId(key.partition('@')[0])
            yield SlotOwner(daemon_id, allotment.incarnation), allotment.slots

    def slots_of(self, owner: SlotOwner) -> int:
        """Counts the slots of one owner."""
        return dict(self.owners()).get(owner, 0)

    def excess_of(self, owner: SlotOwner, slots_count: int) -> int:
        """Counts what an owner has to return after a cut of the slots.

        All owners compute the same: one slot at a time off the largest.
        """
        counts = [(count, str(listed)) for listed, count in self.owners()]
        for _ in range(self.allotted_count - slots_count):
            count, name = max(counts)
            counts.remove((count, name))
            counts.append((count - 1, name))
        kept = {name: count for count, name in counts}
        return self.slots_of(owner) - kept.get(str(owner), 0)

    def with_slots(self, owner: SlotOwner, slots_count: int) -> 'SlotRow':
        """Returns the row with another number of slots of one owner."""
        entries: dict[str, Allotment] = {}
        for key, allotment in self.allotments.items():
            listed = SlotOwner(
                DaemonId(key.partition('@')[0]),
                allotment.incarnation,
            )
            if listed == owner:
                continue
            if key == owner.daemon_id:
                key = f'{key}@{allotment.incarnation}'
            entries[key] = allotment
        if slots_count:
            entry = Allotment(owner.incarnation, slots_count)
            entries[owner.daemon_id] = entry
        return SlotRow(entries)


def parse_slot_row(plain: Mapping[str, Any] | None) -> SlotRow | Failure:
    """Parses the value of a row; an absent row has no allotments."""
    if plain is None:
        return SlotRow()
    return read_plain(plain, SlotRow)


def dump_slot_row(row: SlotRow) -> Mapping[str, Any]:
    """Converts to the stored value."""
    plain: Mapping[str, Any] = dump_plain(row)
    return plain


__all__ = (
    'SLOTS_TABLE',
    'Allotment',
    'SlotOwner',
    'SlotRow',
    'dump_slot_row',
    'parse_slot_row',
)
