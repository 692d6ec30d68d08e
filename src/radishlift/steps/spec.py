"""What callers ask for: jobs of steps, and the terms of their queue."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import JobId, RackId, ServiceName
from radishlift.steps.ids import QueueName

# Tasks that take nothing fit any number of times.
_UNLIMITED_COUNT: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Amounts:
    """Room of a target, or what one task takes of it."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus_count: int = 0

    def fits_in(self, capacity: 'Amounts') -> bool:
        """Tells whether these amounts are at most the room."""
        return (
            self.cpu_millicores <= capacity.cpu_millicores
            and self.memory_mb <= capacity.memory_mb
            and self.gpus_count <= capacity.gpus_count
        )

    def count_fitting(self, capacity: 'Amounts') -> int:
        """Returns how often these amounts fit in the room."""
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

    def plus(self, other: 'Amounts', times: int = 1) -> 'Amounts':
        """Adds other amounts, any number of times."""
        return Amounts(
            self.cpu_millicores + other.cpu_millicores * times,
            self.memory_mb + other.memory_mb * times,
            self.gpus_count + other.gpus_count * times,
        )


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step: tasks of one shape."""

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
        """What a task takes of the room; leftovers book no processor."""
        if self.uses_leftovers:
            return Amounts(0, self.amounts.memory_mb, self.amounts.gpus_count)
        return self.amounts


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """How long a queue's advice takes and how long its tickets last."""

    decide_ms: float
    per_target_ms: float
    valid_ms: int


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """Terms of a queue, as its jobs were accepted under them."""

    queue: QueueName
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1
    objective_ms: int = 0
    advice: AdviceTerms | None = None


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A submitted job; `repeats_count` 0 means once, at once.

    `starts_at_ms` is Unix time.
    """

    job_id: JobId
    text: str
    steps: tuple[StepSpec, ...]
    repeats_count: int = 0
    starts_at_ms: int = 0
    interval_ms: int = 0


__all__ = ('AdviceTerms', 'Amounts', 'JobSpec', 'QueueTerms', 'StepSpec')
