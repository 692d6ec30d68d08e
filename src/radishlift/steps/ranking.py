"""Objectives of steps, and a simple order by deadline.

When the load exceeds the capacity of the targets, a backlog that is served
by age makes all jobs late, including the newest. `rank_step` places steps
first that can still meet their objective; late steps use the remaining
capacity. The planner uses `steps.delay_costs`, which also considers room.
"""

from collections.abc import Callable

from radishlift.steps.runs import JobRun, StepRun

StepRanking = Callable[[JobRun, StepRun, int], tuple[int, ...]]
"""Returns the sort key of a waiting step at a Unix time in milliseconds.

The step with the lowest key is placed first.
"""


def objective_at_ms(job: JobRun, step: StepRun) -> int:
    """Returns when the job's occurrence should end, in Unix milliseconds."""
    occurrence = step.key.occurrence
    chain_ms = chain_estimate_ms(job)
    due_at_ms = job.steps[occurrence, 0].due_at_ms
    allowed_ms = int(job.terms.stretch * chain_ms) + job.terms.objective_ms
    return due_at_ms + allowed_ms


def chain_estimate_ms(job: JobRun, first: int = 0) -> int:
    """Estimates the duration of the longest chain of dependent steps.

    With `first`, returns the longest chain that starts with this step.
    """
    chains = job.chains
    return chains.by_step_ms[first] if first else chains.longest_ms


def latest_start_ms(job: JobRun, step: StepRun) -> int:
    """Returns the latest start that meets the objective, in Unix time."""
    remaining_ms = chain_estimate_ms(job, step.key.step)
    return objective_at_ms(job, step) - remaining_ms


def rank_step(job: JobRun, step: StepRun, wall_ms: int) -> tuple[int, ...]:
    """Ranks by lateness, then by priority, then by latest start.

    Late steps come last.
    """
    start_ms = latest_start_ms(job, step)
    return wall_ms > start_ms, job.terms.priority, start_ms


__all__ = (
    'StepRanking',
    'chain_estimate_ms',
    'latest_start_ms',
    'objective_at_ms',
    'rank_step',
)
