"""Messages between owners about multi-partition gangs; all idempotent."""

from dataclasses import dataclass
from enum import Enum, unique

from radishlift.core.ids import GangRoundId, JobId, PartitionId
from radishlift.placement.jobs import JobSpec, TaskState
from radishlift.placement.transfers import QueuedTask
from radishlift.wire.messages import message


@message('reserve_gang_part')
@dataclass(frozen=True, slots=True)
class ReserveGangPart:
    """The home asks a partition to reserve capacity for members of a gang."""

    partition_id: PartitionId
    spec: JobSpec
    home: PartitionId
    round_id: GangRoundId
    tasks: tuple[QueuedTask, ...]
    timeout_ms: int


@message('gang_part_reserved')
@dataclass(frozen=True, slots=True)
class GangPartReserved:
    """The reservation is journaled."""

    partition_id: PartitionId


@message('gang_part_refused')
@dataclass(frozen=True, slots=True)
class GangPartRefused:
    """Nothing is reserved; only `room_count` members would have fitted."""

    partition_id: PartitionId
    room_count: int
    reason: str


@message('commit_gang_part')
@dataclass(frozen=True, slots=True)
class CommitGangPart:
    """The decision of the home is journaled: the part must start."""

    partition_id: PartitionId
    job_id: JobId
    round_id: GangRoundId
    timeout_ms: int


@message('gang_part_committed')
@dataclass(frozen=True, slots=True)
class GangPartCommitted:
    """The start of the part is journaled."""

    partition_id: PartitionId


@message('gang_part_gone')
@dataclass(frozen=True, slots=True)
class GangPartGone:
    """It is journaled that the part of this round will never start.

    Its end was reported earlier, or a worker was lost while it was reserved.
    """

    partition_id: PartitionId
    reason: str


@message('release_gang_part')
@dataclass(frozen=True, slots=True)
class ReleaseGangPart:
    """The home has abandoned a round."""

    partition_id: PartitionId
    job_id: JobId
    round_id: GangRoundId


@message('stop_gang_part')
@dataclass(frozen=True, slots=True)
class StopGangPart:
    """The part must stop: the gang restarts or the job is cancelled."""

    partition_id: PartitionId
    job_id: JobId
    round_id: GangRoundId
    is_cancelled: bool


@message('gang_part_accepted')
@dataclass(frozen=True, slots=True)
class GangPartAccepted:
    """A release or stop was accepted."""

    partition_id: PartitionId


@message('ask_gang_round')
@dataclass(frozen=True, slots=True)
class AskGangRound:
    """A partition asks the home for the outcome of its reservation."""

    partition_id: PartitionId
    job_id: JobId
    round_id: GangRoundId
    part: PartitionId
    timeout_ms: int


@unique
class RoundOutcome(Enum):
    """Outcome of a round in one partition."""

    committed = 'committed'
    undecided = 'undecided'
    ended = 'ended'


@message('gang_round_outcome')
@dataclass(frozen=True, slots=True)
class GangRoundOutcome:
    """The outcome; `committed` is journaled and `ended` is final."""

    outcome: RoundOutcome


@message('report_gang_part')
@dataclass(frozen=True, slots=True)
class ReportGangPart:
    """All members of a part have ended, which is journaled."""

    partition_id: PartitionId
    job_id: JobId
    round_id: GangRoundId
    part: PartitionId
    queued_tasks: tuple[QueuedTask, ...]
    ended_counts: dict[TaskState, int]
    timeout_ms: int


@message('gang_part_recorded')
@dataclass(frozen=True, slots=True)
class GangPartRecorded:
    """The home has journaled the end of a part, which may be forgotten."""

    job_id: JobId


__all__ = (
    'AskGangRound',
    'CommitGangPart',
    'GangPartAccepted',
    'GangPartCommitted',
    'GangPartGone',
    'GangPartRecorded',
    'GangPartRefused',
    'GangPartReserved',
    'GangRoundOutcome',
    'ReleaseGangPart',
    'ReportGangPart',
    'ReserveGangPart',
    'RoundOutcome',
    'StopGangPart',
)
