"""Which failures count against a task, and the delay before a retry.

This module registers no phase, so that importing it does not change the order
of the phases.
"""

from random import Random
from typing import Final

from radishlift.placement.engine_context import EngineContext
from radishlift.placement.jobs import JobKind
from radishlift.placement.settings import PlacementSettings

WORKERS_PER_QUARANTINED: Final = 4
"""At most one worker in four is quarantined, so that the others keep enough
capacity."""
SUSPECT_FAILURES_COUNT: Final = 16
"""Failures on faulty workers after which a task ends nevertheless. They don't
count as attempts, but a task that fits no other worker would otherwise be
used for probes for ever."""
_MAX_DOUBLINGS: Final = 40


def retry_delay_ms(
    settings: PlacementSettings,
    failures_count: int,
    key: str,
) -> int:
    """Returns the delay before a retry; `key` seeds the jitter.

    The jitter shortens the delay by up to a half, so that tasks that failed
    together don't all start again together.
    """
    doublings = min(failures_count - 1, _MAX_DOUBLINGS)
    longest_ms = settings.retry_delay_ms << doublings
    bounded_ms = min(longest_ms, settings.max_retry_delay_ms)
    return int(bounded_ms * (1 - Random(key).random() / 2))


def counted_failures(context: EngineContext, row: int) -> int:
    """Counts the failures of a task, or of all members of a gang.

    The members of a gang fail together, so the whole gang has as many
    attempts as one task.
    """
    tables = context.tables
    job_row = tables.tasks.job_row[row]
    if tables.jobs.spec[job_row].kind is not JobKind.gang:
        return len(tables.tasks.failed_on[row])
    return sum(
        len(tables.tasks.failed_on[member])
        for member in tables.jobs.task_rows[job_row].values()
    )


def can_quarantine(context: EngineContext) -> bool:
    """Returns whether one more worker may be quarantined."""
    allowed_count = (
        len(context.tables.workers.row_of) // WORKERS_PER_QUARANTINED
    )
    return len(context.health.quarantined) < allowed_count


__all__ = (
    'SUSPECT_FAILURES_COUNT',
    'counted_failures',
    'can_quarantine',
    'retry_delay_ms',
)
