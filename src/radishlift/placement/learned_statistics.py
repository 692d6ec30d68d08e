"""Usage estimates and worker health, journaled for a new owner.

They are journaled at intervals and in bounded size, not for each report. A
takeover loses the changes since the last record.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any, Final

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import Incarnation, JobId, TeamName, WorkerId
from radishlift.journal.records import record

MAX_NAMES_COUNT: Final = 500
"""Pairs of team and job name that are kept, 0.5 KB each; the least recently
used one is dropped."""

UsageKey = tuple[TeamName, str]


@dataclass(frozen=True, slots=True)
class LearnedUsage:
    """Amounts to reserve for the tasks of a team and job name."""

    team: TeamName
    name: str
    cpu_milli: int
    memory_mb: int


@record('usage_learned')
@dataclass(frozen=True, slots=True)
class UsageLearned:
    """Usage estimates that changed."""

    usages: tuple[LearnedUsage, ...]


@dataclass(frozen=True, slots=True)
class LearnedHealth:
    """Ends of attempts on a worker that had failures."""

    worker_id: WorkerId
    incarnation: Incarnation
    ended_count: float
    failed_count: float
    streak_count: int
    failing_jobs: tuple[JobId, ...]


@record('health_learned')
@dataclass(frozen=True, slots=True)
class HealthLearned:
    """Ends of attempts on all workers, and the workers that failed most."""

    ended_count: float = 0
    failed_count: float = 0
    workers: tuple[LearnedHealth, ...] = ()


class LearnedStatistics:
    """The latest journaled estimates and health."""

    def __init__(self) -> None:
        self.usages: OrderedDict[UsageKey, LearnedUsage] = OrderedDict()
        self.health = HealthLearned()

    def apply(self, change: UsageLearned | HealthLearned) -> None:
        """Applies a record."""
        if isinstance(change, HealthLearned):
            self.health = change
            return
        for usage in change.usages:
            name = (usage.team, usage.name)
            self.usages[name] = usage
            self.usages.move_to_end(name)
            if len(self.usages) > MAX_NAMES_COUNT:
                self.usages.popitem(last=False)

    def dump(self) -> Any:
        """Returns plain data for a snapshot, least recently used name first."""
        usages = tuple(self.usages.values())
        return {
            'usage': dump_plain(UsageLearned(usages)),
            'health': dump_plain(self.health),
        }

    def load(self, plain: Any) -> None:
        """Replaces the statistics by those of a snapshot."""
        self.usages.clear()
        for kind, target in (
            ('usage', UsageLearned),
            ('health', HealthLearned),
        ):
            parsed: Any = read_plain(plain[kind], target)
            if isinstance(parsed, Failure):
                raise ValueError(parsed.reason)
            self.apply(parsed)


__all__ = (
    'MAX_NAMES_COUNT',
    'HealthLearned',
    'LearnedStatistics',
    'LearnedHealth',
    'LearnedUsage',
    'UsageKey',
    'UsageLearned',
)
