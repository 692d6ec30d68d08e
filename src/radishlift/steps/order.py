"""The order in which waiting steps are offered room."""

from radishlift.steps.runs import JobRun, StepRun


def objective_at_ms(job: JobRun, step: StepRun) -> int:
    """Returns when the occurrence of a job is due to end, in Unix time."""
    occurrence = step.key.occurrence
    chain_ms = chain_estimate_ms(job)
    begun_at_ms = job.steps[occurrence, 0].due_at_ms
    span_ms = int(job.terms.stretch * chain_ms) + job.terms.objective_ms
    return begun_at_ms + span_ms


def chain_estimate_ms(job: JobRun, first: int = 0) -> int:
    """Estimates the longest chain of steps from a step to the end."""
    lengths: dict[int, int] = {}
    for number in reversed(range(first, len(job.spec.steps))):
        after = [
            lengths.get(later, 0)
            for later in range(number + 1, len(job.spec.steps))
            if number in job.spec.steps[later].depends_on
        ]
        own_ms = job.spec.steps[number].estimate_ms
        lengths[number] = own_ms + max(after, default=0)
    if first:
        return lengths.get(first, 0)
    return max(lengths.values(), default=0)


def latest_start_ms(job: JobRun, step: StepRun) -> int:
    """Returns the latest start that still meets the objective."""
    remaining_ms = chain_estimate_ms(job, step.key.step)
    return objective_at_ms(job, step) - remaining_ms


def rank(job: JobRun, step: StepRun) -> tuple[int, int]:
    """Ranks a waiting step: by priority, then by its latest start."""
    return job.terms.priority, latest_start_ms(job, step)


__all__ = ('chain_estimate_ms', 'latest_start_ms', 'objective_at_ms', 'rank')
