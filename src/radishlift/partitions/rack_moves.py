"""What a partition does next about one rack; decisions without I/O.

The row of a rack names the partition that may take it. It leaves a partition
only after the journal of that partition has the release of its serial, and a
partition takes only serials above the last one that it has released. All
writes of the row are conditional on its version. Hence at most one journal
holds a rack, whoever is paused or writes late.
"""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from radishlift.core.ids import PartitionId

NO_PARTITION: Final = PartitionId('')
"""In a row: no partition may take the rack without another write."""


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

    `assignee` is the partition of the configuration, `row` the row as last
    read. Serials are 0 without a record. `is_vacant` tells that no attempt
    of this partition can run on the rack and none is reserved.
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
        # An absent row is the usual case of a new cell; a conflict tells the
        # row, so that no read is needed before.
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
    """Returns the row to write; `version` is the one it requires."""
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
