"""The order in which waiting steps are offered room.

Answers loads above what the targets hold: a backlog that is served in the
order of its age makes each job late, also those that came last. Steps that
can still meet their objective go first; late ones use what is left.
"""

from collections.abc import Callable
from typing import Final

from radishlift.steps.runs import JobRun, StepRun
from radishlift.steps.spec import AdviceTerms

# Objectives count one question about so many targets for each step.
_ADVICE_TARGETS_COUNT: Final = 30

StepRanking = Callable[[JobRun, StepRun, int], tuple[int, ...]]
"""Ranks a waiting step of a job at a Unix time; the lowest goes first."""


def objective_at_ms(job: JobRun, step: StepRun) -> int:
    """Returns when the occurrence of a job is due to end, in Unix time."""
    occurrence = step.key.occurrence
    chain_ms = chain_estimate_ms(job)
    started_at_ms = job.steps[occurrence, 0].due_at_ms
    allowed_ms = int(job.terms.stretch * chain_ms) + job.terms.objective_ms
    return started_at_ms + allowed_ms


def chain_estimate_ms(job: JobRun, first: int = 0) -> int:
    """Estimates the longest chain of steps from a step to the end."""
    chain_ms: dict[int, int] = {}
    for number in reversed(range(first, len(job.spec.steps))):
        later_ms = [
            chain_ms.get(later, 0)
            for later in range(number + 1, len(job.spec.steps))
            if number in job.spec.steps[later].depends_on
        ]
        step_ms = job.spec.steps[number].estimate_ms
        step_ms += _advice_ms(job.terms.advice)
        chain_ms[number] = step_ms + max(later_ms, default=0)
    if first:
        return chain_ms.get(first, 0)
    return max(chain_ms.values(), default=0)


def latest_start_ms(job: JobRun, step: StepRun) -> int:
    """Returns the latest start that still meets the objective."""
    remaining_ms = chain_estimate_ms(job, step.key.step)
    return objective_at_ms(job, step) - remaining_ms


def rank_step(job: JobRun, step: StepRun, wall_ms: int) -> tuple[int, ...]:
    """Ranks by whether it is late, by priority, and by the latest start."""
    start_ms = latest_start_ms(job, step)
    return wall_ms > start_ms, job.terms.priority, start_ms


def _advice_ms(terms: AdviceTerms | None) -> int:
    if terms is None:
        return 0
    return int(terms.decide_ms + terms.per_target_ms * _ADVICE_TARGETS_COUNT)


__all__ = (
    'StepRanking',
    'chain_estimate_ms',
    'latest_start_ms',
    'objective_at_ms',
    'rank_step',
)
