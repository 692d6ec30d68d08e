"""Journal records of multi-partition gangs: decisions and ends of parts."""

from dataclasses import dataclass

from radishlift.core.ids import GangRoundId, JobId, PartitionId
from radishlift.journal.records import record
from radishlift.placement.jobs import TaskState
from radishlift.placement.transfers import QueuedTask


@dataclass(frozen=True, slots=True)
class GangShare:
    """The members that one partition starts, with their last attempts."""

    partition_id: PartitionId
    tasks: tuple[QueuedTask, ...]


@record('gang_decided')
@dataclass(frozen=True, slots=True)
class GangDecided:
    """The home has decided that all parts of a round start.

    The record is durable before the first commit is sent, so that a new owner
    of the home repeats the commits. A round without it never starts.
    """

    job_id: JobId
    round_id: GangRoundId
    shares: tuple[GangShare, ...]
    decided_at_ms: int


@record('gang_part_ended')
@dataclass(frozen=True, slots=True)
class GangPartEnded:
    """All members of a part are confirmed ended, as reported to the home.

    `queued_tasks` need another start; `ended_counts` counts the others. Both
    are empty for the part in the home, whose tables already have them.
    """

    job_id: JobId
    round_id: GangRoundId
    partition_id: PartitionId
    queued_tasks: tuple[QueuedTask, ...]
    ended_counts: dict[TaskState, int]
    ended_at_ms: int


@record('gang_part_forgotten')
@dataclass(frozen=True, slots=True)
class GangPartForgotten:
    """A part was removed after its home had journaled its end."""

    job_id: JobId
    round_id: GangRoundId


@dataclass(frozen=True, slots=True)
class GangPart:
    """A started part, and the home to which its end is reported."""

    home: PartitionId
    round_id: GangRoundId


@dataclass(slots=True)
class MultiPartitionGang:
    """A gang that its home has decided to start, and its ended parts."""

    decision: GangDecided
    ended_partitions: set[PartitionId]

    def open_shares(self) -> tuple[GangShare, ...]:
        """Returns the shares whose part has not ended."""
        return tuple(
            share
            for share in self.decision.shares
            if share.partition_id not in self.ended_partitions
        )


class GangTable:
    """Started parts, decided gangs of this home, and closed rounds.

    A gang whose home is here and that has a part here is in both `parts` and
    `multi_partition`.
    """

    def __init__(self) -> None:
        self.parts: dict[JobId, GangPart] = {}
        self.multi_partition: dict[JobId, MultiPartitionGang] = {}
        self.closed_rounds: dict[GangRoundId, None] = {}


__all__ = (
    'GangDecided',
    'GangPart',
    'GangPartEnded',
    'GangPartForgotten',
    'GangShare',
    'GangTable',
    'MultiPartitionGang',
)
