"""Compares the grid of free capacity with a search of all workers."""

from random import Random

import pytest

from radishlift.placement.jobs import Resources
from radishlift.placement.worker_index import LEVELS_COUNT, FreeCapacityGrid

LARGEST = Resources(16_000, 32_000)
CPU_STEP_MILLI = LARGEST.cpu_milli // LEVELS_COUNT
MEMORY_STEP_MB = LARGEST.memory_mb // LEVELS_COUNT
UPDATES_COUNT = 400


def find_cell(free: Resources) -> tuple[int, int]:
    """Returns the levels of a free capacity; they are 0 if it is negative."""
    return (
        max(0, free.cpu_milli) // CPU_STEP_MILLI,
        max(0, free.memory_mb) // MEMORY_STEP_MB,
    )


def random_free(rng: Random) -> Resources:
    """Returns a random free capacity, sometimes negative or at the limit."""
    return Resources(
        rng.choice((-500, 0, LARGEST.cpu_milli, rng.randrange(16_000))),
        rng.choice((-900, 0, LARGEST.memory_mb, rng.randrange(32_000))),
    )


@pytest.mark.parametrize('is_tight', [True, False])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_search_yields_all_workers_that_may_fit(
    seed: int,
    is_tight: bool,
) -> None:
    """Guards against cells that a search skips or keeps when empty."""
    rng = Random(seed)
    grid = FreeCapacityGrid(LARGEST)
    free: dict[int, Resources] = {}
    for _ in range(UPDATES_COUNT):
        row = rng.randrange(24)
        if rng.randrange(5) == 0:
            grid.remove(row)
            free.pop(row, None)
        else:
            free[row] = random_free(rng)
            grid.update(row, free[row].cpu_milli, free[row].memory_mb)
        demand = Resources(rng.randrange(17_000), rng.randrange(33_000))
        low = find_cell(demand)
        found = list(grid.search(demand, is_tight=is_tight))
        cells = [find_cell(free[found_row]) for found_row in found]
        assert cells == sorted(cells, reverse=not is_tight)
        assert sorted(found) == sorted(
            known_row
            for known_row, amount in free.items()
            if all(
                level >= least
                for level, least in zip(find_cell(amount), low, strict=True)
            )
        )
