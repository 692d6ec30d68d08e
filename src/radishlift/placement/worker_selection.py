"""Selection of a worker for a task."""

from collections.abc import Callable, Iterable, Iterator

from radishlift.placement.engine_context import EngineContext
from radishlift.placement.jobs import Resources
from radishlift.placement.policies import Policy, Search
from radishlift.placement.tables import NO_ROW

WorkerFilter = Callable[[int], bool]


def fitting_workers(
    context: EngineContext,
    policy: Policy,
    demand: Resources,
    is_permitted: WorkerFilter,
) -> Iterator[int]:
    """Yields workers on which a task may start, in the policy's order."""
    workers = context.tables.workers
    fits = workers.fits
    for row in _candidate_rows(context, policy, demand):
        if fits(row, demand) and is_permitted(row):
            yield row


def _candidate_rows(
    context: EngineContext,
    policy: Policy,
    demand: Resources,
) -> Iterable[int]:
    if policy.search is Search.ordered:
        workers = context.tables.workers
        rows = sorted(workers.row_of.values())
        return (row for row in rows if workers.is_schedulable(row))
    is_tight = policy.search is Search.tight
    return context.worker_index.search(demand, is_tight=is_tight)


def choose_worker(
    context: EngineContext,
    policy: Policy,
    demand: Resources,
    is_permitted: WorkerFilter,
) -> int:
    """Returns the row of the worker with the lowest score, or `NO_ROW`.

    Only the first `candidates_count` fitting workers are compared.
    """
    if policy.candidates_count == 1:
        fits = context.tables.workers.fits
        for row in _candidate_rows(context, policy, demand):
            if fits(row, demand) and is_permitted(row):
                return row
        return NO_ROW
    return score_workers(context, policy, demand, is_permitted)[1]


def score_workers(
    context: EngineContext,
    policy: Policy,
    demand: Resources,
    is_permitted: WorkerFilter,
) -> tuple[float, int]:
    """Returns the lowest score of the compared workers and the worker's row.

    Returns infinity and `NO_ROW` if no worker fits.
    """
    workers = context.tables.workers
    best_row = NO_ROW
    best_score = float('inf')
    mix = context.queued_demand_mix()
    left_count = policy.candidates_count
    for row in fitting_workers(context, policy, demand, is_permitted):
        score = policy.score(workers, row, demand, mix)
        if score < best_score:
            best_row = row
            best_score = score
        left_count -= 1
        if not left_count:
            break
    return best_score, best_row


__all__ = ('choose_worker', 'fitting_workers', 'score_workers')
