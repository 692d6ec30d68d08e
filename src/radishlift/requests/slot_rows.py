"""Rows of the table `slots`: how many slots of an executor each daemon may use.

A row is `{"allotments": {daemon_id: {"incarnation", "slots"}}}`. When a daemon
restarts, requests of its previous incarnation may still run. The entry of that
incarnation moves to the key `daemon_id@incarnation`, so that the restarted
daemon can hold other slots. The sum over all entries is at most the executor's
slots.
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
    """One incarnation of a daemon."""

    daemon_id: DaemonId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Allotment:
    """Slots that one incarnation of a daemon may use."""

    incarnation: Incarnation
    slots: int


@dataclass(frozen=True, slots=True)
class SlotRow:
    """The allotments of one executor."""

    allotments: dict[str, Allotment] = field(default_factory=dict)

    @property
    def allotted_count(self) -> int:
        """Returns the slots of all entries."""
        return sum(allotment.slots for allotment in self.allotments.values())

    def owners(self) -> Iterator[tuple[SlotOwner, int]]:
        """Yields each owner with its slots."""
        for key, allotment in self.allotments.items():
            daemon_id = DaemonId(key.partition('@')[0])
            yield SlotOwner(daemon_id, allotment.incarnation), allotment.slots

    def slots_of(self, owner: SlotOwner) -> int:
        """Returns the slots of one owner."""
        return dict(self.owners()).get(owner, 0)

    def excess_of(self, owner: SlotOwner, slots_count: int) -> int:
        """Returns how many slots an owner must return after their limit is cut.

        One slot at a time is taken off the largest entry, so that all owners
        compute the same.
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
    """Returns the stored value of a row."""
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
