"""System that puts accepted and requeued jobs into the queue."""

from typing import Final

from radishlift.placement.job_queue import GroupKey
from radishlift.placement.jobs import JobKind, Priority
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.working import Working

RANKS: Final = {
    Priority.urgent: 0,
    Priority.high: 1,
    Priority.normal: 3,
    Priority.low: 4,
}


@SYSTEMS.register('admission')
def admit_jobs(working: Working, time: TickTime) -> bool:
    """Adds the jobs that have queued tasks to their groups."""
    pending = working.tables.queued_jobs
    while pending:
        if time.is_over():
            return False
        job_row = next(iter(pending))
        del pending[job_row]
        if working.tables.jobs.startable_count(job_row):
            _admit(working, job_row)
    return True


def _admit(working: Working, job_row: int) -> None:
    jobs = working.tables.jobs
    spec = jobs.spec[job_row]
    key = GroupKey(
        RANKS[spec.priority],
        spec.department,
        spec.team,
        spec.demand,
        spec.kind is JobKind.gang,
    )
    working.queue.add(job_row, key, (jobs.accepted_at_ms[job_row],))


__all__ = ('admit_jobs',)
