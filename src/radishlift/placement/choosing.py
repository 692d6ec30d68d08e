"""Choice of a worker for one task."""

from collections.abc import Callable, Iterable, Iterator

from radishlift.placement.jobs import Resources
from radishlift.placement.policies import Policy, Search
from radishlift.placement.tables import NO_ROW
from radishlift.placement.working import Working

Permit = Callable[[int], bool]


def fitting_workers(
    working: Working,
    policy: Policy,
    demand: Resources,
    is_permitted: Permit,
) -> Iterator[int]:
    """Yields the workers that a task may start on, as the policy searches."""
    workers = working.tables.workers
    fits = workers.fits
    for row in _searched(working, policy, demand):
        if fits(row, demand) and is_permitted(row):
            yield row


def _searched(
    working: Working,
    policy: Policy,
    demand: Resources,
) -> Iterable[int]:
    if policy.search is Search.ordered:
        workers = working.tables.workers
        rows = sorted(workers.row_of.values())
        return (row for row in rows if workers.can_take(row))
    is_tight = policy.search is Search.tight
    return working.index.search(demand, is_tight=is_tight)


def choose_worker(
    working: Working,
    policy: Policy,
    demand: Resources,
    is_permitted: Permit,
) -> int:
    """Returns the best of the first fitting workers, or `NO_ROW`."""
    if policy.candidates_count == 1:
        fits = working.tables.workers.fits
        for row in _searched(working, policy, demand):
            if fits(row, demand) and is_permitted(row):
                return row
        return NO_ROW
    return score_workers(working, policy, demand, is_permitted)[1]


def score_workers(
    working: Working,
    policy: Policy,
    demand: Resources,
    is_permitted: Permit,
) -> tuple[float, int]:
    """Returns the lowest score of the first fitting workers, and its row."""
    workers = working.tables.workers
    best_row = NO_ROW
    best_score = float('inf')
    mix = working.queue_mix()
    left_count = policy.candidates_count
    for row in fitting_workers(working, policy, demand, is_permitted):
        score = policy.score(workers, row, demand, mix)
        if score < best_score:
            best_row = row
            best_score = score
        left_count -= 1
        if not left_count:
            break
    return best_score, best_row


__all__ = ('choose_worker', 'fitting_workers', 'score_workers')
