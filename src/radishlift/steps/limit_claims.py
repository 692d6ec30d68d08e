"""Claims of waiting steps on the limit of their workspace.

A step that can't run on any targets claims nothing: the other steps of its
workspace would wait for it for ever.
"""

from radishlift.steps.limits import WorkspaceLimits
from radishlift.steps.runs import JobRun, StepRun
from radishlift.steps.tickets import TicketTable
from radishlift.steps.ticks import Tick


class LimitClaims:
    """Keeps limits for waiting steps that accepting targets may run."""

    def __init__(self, limits: WorkspaceLimits, tickets: TicketTable) -> None:
        self._limits = limits
        self._tickets = tickets

    def hold(self, tick: Tick, job: JobRun, step: StepRun) -> None:
        """Holds the limit for a gang, or for a task that exceeds it."""
        if job.workspace and self._may_run(tick, job, step):
            self._limits.hold(job, step)

    def may_request(
        self, tick: Tick, job: JobRun, step: StepRun, count: int
    ) -> bool:
        """Returns whether a step may request advice, and reserves the limit."""
        if not job.workspace:
            return True
        return self._may_run(tick, job, step) and self._limits.may_request(
            job, step, count
        )

    def _may_run(self, tick: Tick, job: JobRun, step: StepRun) -> bool:
        """Returns whether targets that may allow a step fit it once empty.

        They must fit all members of a gang.
        """
        advice = self._tickets.advice_for(step.key)
        refused = advice.requested - advice.allowed.keys() - advice.open
        missing_count = len(step.tasks) if step.spec.is_gang else 1
        max_count = step.spec.max_per_target_count or missing_count
        amounts = step.spec.allocated_amounts
        for target in tick.suitable_targets(job, step):
            if target.entry.target_id not in refused:
                fitting_count = amounts.count_fitting(target.entry.capacity)
                missing_count -= min(max_count, fitting_count)
            if missing_count <= 0:
                return True
        return False


__all__ = ('LimitClaims',)
