"""Specifications of submitted jobs and the terms of their queues."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import JobId, RackId, ServiceName
from radishlift.steps.ids import QueueName

# Number of fitting tasks if they need no resources.
_UNLIMITED_COUNT: Final = 1_000_000
_LONG_RUN_MS: Final = 86_400_000
# Tasks of all occurrences of a job; each leader keeps all of them in memory,
# about 0.7 KB each.
MAX_JOB_TASKS: Final = 100_000


def _subtract(amount: int, other: int) -> int:
    return min(amount, max(0, amount - other))


@dataclass(frozen=True, slots=True, order=True)
class Amounts:
    """Resource amounts: of a target's capacity or of one task."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus_count: int = 0

    def fits_in(self, capacity: 'Amounts') -> bool:
        """Returns whether no amount exceeds the capacity."""
        return (
            self.cpu_millicores <= capacity.cpu_millicores
            and self.memory_mb <= capacity.memory_mb
            and self.gpus_count <= capacity.gpus_count
        )

    def count_fitting(self, capacity: 'Amounts') -> int:
        """Returns how many times these amounts fit in the capacity."""
        counts = [
            available // needed
            for needed, available in (
                (self.cpu_millicores, capacity.cpu_millicores),
                (self.memory_mb, capacity.memory_mb),
                (self.gpus_count, capacity.gpus_count),
            )
            if needed
        ]
        return min(counts, default=_UNLIMITED_COUNT)

    def limited(self, limit: 'Amounts') -> 'Amounts':
        """Returns the smaller of these amounts and those of a limit."""
        return Amounts(
            min(self.cpu_millicores, limit.cpu_millicores),
            min(self.memory_mb, limit.memory_mb),
            min(self.gpus_count, limit.gpus_count),
        )

    def without(self, other: 'Amounts') -> 'Amounts':
        """Returns what is left of these amounts, at least zero of each.

        Amounts that are negative before stay as they are.
        """
        return Amounts(
            _subtract(self.cpu_millicores, other.cpu_millicores),
            _subtract(self.memory_mb, other.memory_mb),
            _subtract(self.gpus_count, other.gpus_count),
        )

    def plus(self, other: 'Amounts', times: int = 1) -> 'Amounts':
        """Returns these amounts plus `times` times the other ones."""
        return Amounts(
            self.cpu_millicores + other.cpu_millicores * times,
            self.memory_mb + other.memory_mb * times,
            self.gpus_count + other.gpus_count * times,
        )


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step of a job; all its tasks need the same resources."""

    tasks_count: int
    amounts: Amounts = Amounts()
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    saves_checkpoints: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: RackId = RackId('')
    max_per_target_count: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ''
    tail_limit_ms: int = 0
    uses_leftovers: bool = False
    may_miss_count: int = 0

    @property
    def allocated_amounts(self) -> Amounts:
        """Amounts allocated per task.

        Tasks that use leftovers allocate no processor.
        """
        if self.uses_leftovers:
            return Amounts(0, self.amounts.memory_mb, self.amounts.gpus_count)
        return self.amounts

    @property
    def expected_run_ms(self) -> int:
        """Expected run time of a task; a day if it runs until it is stopped."""
        return _LONG_RUN_MS if self.is_long_running else self.estimate_ms


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """Expected duration of advice requests and validity of their tickets."""

    decide_ms: float
    per_target_ms: float
    valid_ms: int


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """Terms of a queue that apply to its jobs.

    An occurrence of a job should end within `stretch` times its estimated
    duration plus `objective_ms`.
    """

    queue: QueueName
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1
    objective_ms: int = 0
    advice: AdviceTerms | None = None


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A submitted job.

    With `repeats_count` 0 the job runs once, when it is accepted or at
    `starts_at_ms` (Unix time) if this is set. Otherwise its occurrences are
    due every `interval_ms` from `starts_at_ms`.
    """

    job_id: JobId
    text: str
    steps: tuple[StepSpec, ...]
    repeats_count: int = 0
    starts_at_ms: int = 0
    interval_ms: int = 0


__all__ = (
    'MAX_JOB_TASKS',
    'AdviceTerms',
    'Amounts',
    'JobSpec',
    'QueueTerms',
    'StepSpec',
)
