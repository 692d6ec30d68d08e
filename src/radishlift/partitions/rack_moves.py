"""Decides, without I/O, the next step of a partition about a rack.

The row of a rack names the partition that may take it. The row is passed on to
another partition only after the journal of the named partition contains the
release of its serial, and a partition takes only serials above the last one
that it has released. All writes of the row are conditional on its version.
Hence at most one journal holds a rack, even if owners are paused or write late.
"""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from radishlift.core.ids import PartitionId

NO_PARTITION: Final = PartitionId('')
"""In a row: no partition may take the rack until the next write."""


@unique
class RackStep(Enum):
    """The next step of a partition about a rack."""

    rest = 'rest'
    read = 'read'
    claim = 'claim'
    take = 'take'
    wait = 'wait'
    drain = 'drain'
    release = 'release'
    settle = 'settle'
    pass_on = 'pass_on'


@dataclass(frozen=True, slots=True)
class RackRow:
    """The row of a rack; version 0 means that it is absent."""

    partition_id: PartitionId
    serial: int
    version: int


@dataclass(frozen=True, slots=True)
class RackView:
    """What a partition knows about a rack.

    `assignee` is the partition that the configuration assigns, `row` the row
    as last read. Serials are 0 if there is no record. `is_vacant` means that no
    attempt of this partition can run on the rack or is reserved there.
    """

    partition_id: PartitionId
    assignee: PartitionId
    held_serial: int
    released_serial: int
    row: RackRow | None
    is_release_durable: bool = True
    is_vacant: bool = True


def next_step(view: RackView) -> RackStep:
    """Decides the next step about one rack."""
    is_wanted = view.assignee == view.partition_id
    if view.held_serial:
        if is_wanted:
            return RackStep.rest
        return RackStep.release if view.is_vacant else RackStep.drain
    if view.row is None:
        # In a new cell the row is usually absent. Otherwise the conflict
        # returns the row, so that no read is needed first.
        return RackStep.claim if is_wanted else RackStep.read
    if view.row.partition_id != view.partition_id:
        return _step_if_row_names_other(view.row, is_wanted=is_wanted)
    is_released = view.row.serial <= view.released_serial
    if is_wanted:
        return RackStep.claim if is_released else RackStep.take
    if not is_released:
        return RackStep.release
    return RackStep.pass_on if view.is_release_durable else RackStep.settle


def _step_if_row_names_other(row: RackRow, *, is_wanted: bool) -> RackStep:
    if not is_wanted:
        return RackStep.rest
    is_free = row.partition_id == NO_PARTITION
    return RackStep.claim if is_free else RackStep.wait


def next_row(view: RackView, step: RackStep) -> RackRow:
    """Returns the row to write; `version` is the version to replace."""
    owner = view.partition_id if step is RackStep.claim else view.assignee
    serial, version = 0, 0
    if view.row is not None:
        serial, version = view.row.serial, view.row.version
    return RackRow(owner, max(serial, view.released_serial) + 1, version)


__all__ = (
    'NO_PARTITION',
    'RackRow',
    'RackStep',
    'RackView',
    'next_row',
    'next_step',
)
