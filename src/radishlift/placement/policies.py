"""Placement policies, composed of functions for ranking, scoring and so on."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from radishlift.core.registry import Registry
from radishlift.placement.jobs import JobSpec, Priority, Resources
from radishlift.placement.tables import WorkerTable

URGENT_RANK: Final = 0
HIGH_RANK: Final = 1
AGED_RANK: Final = 2
NORMAL_RANK: Final = 3
LOW_RANK: Final = 4

_RANKS: Final = {
    Priority.urgent: URGENT_RANK,
    Priority.high: HIGH_RANK,
    Priority.normal: NORMAL_RANK,
    Priority.low: LOW_RANK,
}
SIZE_WEIGHT: Final = 0.45
"""Weight of the size of a demand against the imbalance that it causes. From
0.4 to 0.5 the tasks of 32 seeds need at most one worker more than the lower
bound of 20, for each department; at 0.3 some need two more."""
EMPTY_PENALTY: Final = 10
"""Larger than any other score, so that empty workers are used last."""
MIN_MIX: Final = 0.000_001
_UNKNOWN_RUN_TIME_BITS: Final = 64


@unique
class Search(Enum):
    """The order in which workers are checked."""

    tight = 'least free first'
    loose = 'most free first'
    ordered = 'in table order, scanning the table'


@dataclass(frozen=True, slots=True)
class BackfillCandidate:
    """A task that would start before the reserved start of another job.

    `uses_reserved_capacity` is set if the task would take capacity that the
    reservation needs.
    """

    reserved_start_ms: int
    estimated_end_ms: int
    uses_reserved_capacity: bool


Rank = Callable[[JobSpec, bool], int]
QueueOrder = Callable[[JobSpec, int], tuple[int, ...]]
DemandMix = tuple[float, float]
"""Processor and memory demand of all queued tasks, in units of the largest
worker."""
Score = Callable[[WorkerTable, int, Resources, DemandMix], float]
Preempts = Callable[[Priority, Priority], bool]
Backfill = Callable[[BackfillCandidate], bool]


@dataclass(frozen=True, slots=True)
class Policy:
    """How a department's work is queued, placed and preempted.

    `rank` and `order` sort the queue, lowest first. `search` gives the order
    of the workers; of the first `candidates_count` that fit, the one with the
    lowest `score` is used. With `is_strict`, no job of the department starts
    while its first job is blocked. For normal and low work, up to
    `compared_count` different demands are scored instead of only the first.
    """

    rank: Rank
    order: QueueOrder
    score: Score
    preempts: Preempts
    backfill: Backfill
    search: Search = Search.tight
    candidates_count: int = 1
    is_strict: bool = False
    compared_count: int = 1


POLICIES: Final[Registry[Policy]] = Registry('placement policy')


def rank_by_priority(spec: JobSpec, is_aged: bool) -> int:
    """Ranks by priority; aged work precedes normal work."""
    rank = _RANKS[spec.priority]
    return min(rank, AGED_RANK) if is_aged else rank


def rank_equally(spec: JobSpec, is_aged: bool) -> int:
    """Ranks all work alike."""
    return NORMAL_RANK


def order_by_arrival(spec: JobSpec, accepted_at_ms: int) -> tuple[int, ...]:
    """Orders jobs first come, first served."""
    return (accepted_at_ms,)


def order_by_run_time(spec: JobSpec, accepted_at_ms: int) -> tuple[int, ...]:
    """Orders short jobs first, which lowers the mean waiting time.

    Declared run times are off by a factor of 0.2-5, so only their number of
    bits is compared. Urgent and high work stays in order of arrival.
    """
    if _RANKS[spec.priority] <= HIGH_RANK:
        return (0, accepted_at_ms)
    bits = spec.run_time_ms.bit_length() or _UNKNOWN_RUN_TIME_BITS
    return (bits, accepted_at_ms)


def order_by_size(spec: JobSpec, accepted_at_ms: int) -> tuple[int, ...]:
    """Orders large demands first; small ones fill the remaining capacity.

    Urgent and high work stays in order of arrival.
    """
    if _RANKS[spec.priority] <= HIGH_RANK:
        return (0, accepted_at_ms)
    demand = spec.demand
    bits = (demand.cpu_milli + demand.memory_mb).bit_length()
    return (-bits, accepted_at_ms)


def score_none(
    workers: WorkerTable,
    row: int,
    demand: Resources,
    mix: DemandMix,
) -> float:
    """Scores all workers equally, so that the first that fits is used."""
    return 0


def score_complement(
    workers: WorkerTable,
    row: int,
    demand: Resources,
    mix: DemandMix,
) -> float:
    """Prefers workers whose usage gets the proportions of the queued demand.

    Workers are then full in all dimensions at about the same time. Large
    demands are preferred, because small ones fit into what remains, and an
    empty worker is used only if no other has enough capacity. An imbalance is
    weighted by how full the worker is, since later tasks can compensate for
    it while much of the worker is free.
    """
    capacity = workers.worker_info[row].capacity
    cpu_part = demand.cpu_milli / max(1, capacity.cpu_milli)
    memory_part = demand.memory_mb / max(1, capacity.memory_mb)
    cpu_used = 1 - workers.free_cpu[row] / max(1, capacity.cpu_milli)
    memory_used = 1 - workers.free_memory[row] / max(1, capacity.memory_mb)
    cpu_after = cpu_used + cpu_part
    memory_after = memory_used + memory_part
    skew = abs(cpu_after * mix[1] - memory_after * mix[0])
    skew /= max(*mix, MIN_MIX)
    score = skew * max(cpu_after, memory_after)
    score -= SIZE_WEIGHT * max(cpu_part, memory_part)
    return score if workers.task_rows[row] else score + EMPTY_PENALTY


def score_least_used(
    workers: WorkerTable,
    row: int,
    demand: Resources,
    mix: DemandMix,
) -> float:
    """Prefers the worker with the most left in its scarcest dimension."""
    capacity = workers.worker_info[row].capacity
    return -min(
        workers.free_cpu[row] / max(1, capacity.cpu_milli),
        workers.free_memory[row] / max(1, capacity.memory_mb),
    )


def preempt_for_urgent(waiting: Priority, running: Priority) -> bool:
    """Lets urgent work preempt normal and low work, never high work."""
    if waiting is not Priority.urgent:
        return False
    return running in {Priority.normal, Priority.low}


def preempt_never(waiting: Priority, running: Priority) -> bool:
    """Lets no work preempt other work."""
    return False


def backfill_before_start(case: BackfillCandidate) -> bool:
    """Lets work start that can't delay the reserved start."""
    is_over_before = case.estimated_end_ms <= case.reserved_start_ms
    return is_over_before or not case.uses_reserved_capacity


def backfill_always(case: BackfillCandidate) -> bool:
    """Lets any work start before the reserved start."""
    return True


POLICIES.register('waiting_first')(
    Policy(
        rank_by_priority,
        order_by_run_time,
        score_none,
        preempt_for_urgent,
        backfill_before_start,
    ),
)
POLICIES.register('packing_first')(
    Policy(
        rank_by_priority,
        order_by_size,
        score_complement,
        preempt_for_urgent,
        backfill_before_start,
        compared_count=8,
    ),
)
POLICIES.register('fifo_first_fit')(
    Policy(
        rank_equally,
        order_by_arrival,
        score_none,
        preempt_never,
        backfill_always,
        search=Search.ordered,
        is_strict=True,
    ),
)
POLICIES.register('least_loaded')(
    Policy(
        rank_equally,
        order_by_arrival,
        score_least_used,
        preempt_never,
        backfill_always,
        search=Search.loose,
        candidates_count=4,
    ),
)

__all__ = ('POLICIES', 'BackfillCandidate', 'Policy', 'Search')
