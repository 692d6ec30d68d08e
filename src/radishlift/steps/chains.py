"""Estimated durations of chains of dependent steps."""

from dataclasses import dataclass
from typing import Final

from radishlift.steps.spec import AdviceTerms, JobSpec, QueueTerms

# Objectives include one advice request for this many targets per step.
_ADVICE_TARGETS_COUNT: Final = 30


@dataclass(frozen=True, slots=True)
class Chains:
    """The longest chain that starts with each step of a job, and of all.

    Both are in milliseconds, under the terms of a queue.
    """

    terms: QueueTerms
    by_step_ms: tuple[int, ...]
    longest_ms: int


def build_chains(spec: JobSpec, terms: QueueTerms) -> Chains:
    """Computes the chains of a job."""
    step_advice_ms = advice_ms(terms.advice)
    chains_ms = [0 for _ in spec.steps]
    for number in reversed(range(len(spec.steps))):
        step = spec.steps[number]
        # Until here this is the longest chain of a later step.
        chains_ms[number] += step.estimate_ms + step_advice_ms
        for earlier in step.depends_on:
            chains_ms[earlier] = max(chains_ms[earlier], chains_ms[number])
    return Chains(terms, tuple(chains_ms), max(chains_ms, default=0))


def advice_ms(terms: AdviceTerms | None) -> int:
    """Returns the time for advice that the objective allows per step."""
    if terms is None:
        return 0
    return int(terms.decide_ms + terms.per_target_ms * _ADVICE_TARGETS_COUNT)


__all__ = ('Chains', 'advice_ms', 'build_chains')
