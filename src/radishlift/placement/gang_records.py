"""Journal records of a gang over partitions: its home and its parts' ends."""

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

    It is durable before the first commit is sent, so that a successor of
    the home repeats the commits. A round without it never starts.
    """

    job_id: JobId
    round_id: GangRoundId
    shares: tuple[GangShare, ...]
    decided_at_ms: int


@record('gang_part_ended')
@dataclass(frozen=True, slots=True)
class GangPartEnded:
    """The home has learned that no member of a part runs any more.

    `queued_tasks` need another start; `ended_counts` are the others. Both
    are empty for the part in the home, whose tables have them already.
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
    """The home has journaled the end of a part, which is removed."""

    job_id: JobId
    round_id: GangRoundId


@dataclass(frozen=True, slots=True)
class GangPart:
    """A part that has started, and the home to which its end is reported."""

    home: PartitionId
    round_id: GangRoundId


@dataclass(slots=True)
class MultiPartitionGang:
    """A decided gang in its home, with the parts that have ended."""

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
    """The parts that started here, the gangs of this home, closed rounds.

    A gang whose home is here and has a part here is in both tables.
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
