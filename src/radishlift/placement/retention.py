"""System that forgets jobs which ended long ago."""

from radishlift.placement.records import JobForgotten
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.working import Working


@SYSTEMS.register('retention')
def forget_jobs(working: Working, time: TickTime) -> bool:
    """Forgets the jobs that ended first, by age and by number."""
    settings = working.settings
    tables = working.tables
    while tables.ended_jobs:
        row = next(iter(tables.ended_jobs))
        age_ms = time.now_ms - tables.jobs.ended_at_ms[row]
        is_old = age_ms >= settings.remember_ended_ms
        is_over = len(tables.ended_jobs) > settings.remember_ended_count
        if not (is_old or is_over):
            break
        if time.is_over():
            return False
        working.emit(JobForgotten(tables.jobs.spec[row].job_id))
    return True


__all__ = ('forget_jobs',)
