"""Phase that removes jobs which ended long ago."""

from radishlift.placement.engine_context import EngineContext
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.records import JobForgotten


@PHASES.register('retention')
def remove_ended_jobs(context: EngineContext, budget: PhaseBudget) -> bool:
    """Removes the oldest ended jobs, by age and by number."""
    settings = context.settings
    tables = context.tables
    while tables.ended_jobs:
        row = next(iter(tables.ended_jobs))
        age_ms = budget.now_ms - tables.jobs.ended_at_ms[row]
        is_old = age_ms >= settings.remember_ended_ms
        is_over = len(tables.ended_jobs) > settings.remember_ended_count
        if not (is_old or is_over):
            break
        if budget.is_exhausted():
            return False
        context.emit(JobForgotten(tables.jobs.spec[row].job_id))
    return True


__all__ = ('remove_ended_jobs',)
