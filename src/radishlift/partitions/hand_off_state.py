"""Journaled state of jobs that were handed to another partition."""

from dataclasses import dataclass
from typing import Any, ClassVar

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import JobId, PartitionId
from radishlift.journal.records import record
from radishlift.placement.partition_tables import RecordRefusedError
from radishlift.placement.transfers import JobTransfer


@record('hand_off_begun')
@dataclass(frozen=True, slots=True)
class HandOffBegun:
    """A job is offered to another partition.

    It is journaled before `JobHandedOff`. A new owner that finds only this
    record keeps the job, and a new owner that finds both repeats the hand-off.
    `transfer` is stored here because `JobHandedOff` removes the tasks.
    """

    job_id: JobId
    to_partition: PartitionId
    transfer: JobTransfer | None = None


@record('hand_off_confirmed')
@dataclass(frozen=True, slots=True)
class HandOffConfirmed:
    """The other partition has journaled the job.

    From then on the hand-off is not repeated: the other partition may forget
    the job after it has ended, and a repeated hand-off would run it again.
    """

    job_id: JobId


class HandOffs:
    """Hand-offs that the other partition has not confirmed."""

    record_types: ClassVar[tuple[type, ...]] = (HandOffBegun, HandOffConfirmed)

    def __init__(self) -> None:
        self.open: dict[JobId, HandOffBegun] = {}

    def apply(self, change: Any) -> None:
        """Applies one record."""
        match change:
            case HandOffBegun():
                self.open[change.job_id] = change
            case HandOffConfirmed():
                self.open.pop(change.job_id, None)

    def dump(self) -> Any:
        """Returns the state as plain data for a snapshot."""
        return {
            job_id: dump_plain(hand_off)
            for job_id, hand_off in self.open.items()
        }

    def load(self, plain: Any) -> None:
        """Replaces the state with that of a snapshot."""
        self.open = {
            JobId(job_id): _parse(job_id, hand_off)
            for job_id, hand_off in plain.items()
        }


def _parse(job_id: str, plain: Any) -> HandOffBegun:
    # Snapshots of earlier versions contain only the id of the partition.
    if isinstance(plain, str):
        return HandOffBegun(JobId(job_id), PartitionId(plain))
    hand_off = read_plain(plain, HandOffBegun)
    if isinstance(hand_off, Failure):
        raise RecordRefusedError(hand_off.reason)
    return hand_off


__all__ = ('HandOffBegun', 'HandOffConfirmed', 'HandOffs')
