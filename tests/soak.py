"""Long fault test: all pairs of faults, injected at seeded times.

`python -m tests.soak [MINUTES] [FIRST_SEED]` prints the seed of each run, so
that a violation can be reproduced with `--faults FAULT... --seed SEED`.
"""

import argparse
import asyncio
import sys
import tempfile
import time
from collections.abc import Sequence
from itertools import combinations_with_replacement
from pathlib import Path
from random import Random

from tests.system.faults import FAULTS
from tests.system.scenario import run_scenario

# Regression cases that failed before; each soak test runs them first.
REGRESSION_CASES = (
    # A region that reaches neither the host list nor a daemon that can read it
    # gets no report that an executor leaves.
    (('cut_regions_and_store', 'executor_leaves', 'cancel_wave'), 36),
)


async def run_case(fault_names: Sequence[str], seed: int) -> bool:
    """Runs one scenario and prints its result; returns whether it passed."""
    with tempfile.TemporaryDirectory(prefix='radishlift-soak-') as folder:
        verdict = await run_scenario(Path(folder), fault_names, seed)
    state = 'VIOLATED' if verdict.violations else 'held'
    print(f'{"+".join(fault_names)} seed {seed}: {state} {verdict.outcomes}')
    for name, texts in verdict.violations.items():
        print(f'  {name}: {texts[:3]} ({len(texts)} in all)', flush=True)
    return not verdict.violations


def main() -> int:
    """Runs fault pairs until the time is over; returns 1 on a violation."""
    parser = argparse.ArgumentParser()
    parser.add_argument('minutes', nargs='?', type=float, default=60)
    parser.add_argument('first_seed', nargs='?', type=int, default=1000)
    parser.add_argument('--faults', nargs='+', choices=FAULTS.names())
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    if options.faults:
        return int(not asyncio.run(run_case(options.faults, options.seed)))
    pairs = list(combinations_with_replacement(FAULTS.names(), 2))
    Random(options.first_seed).shuffle(pairs)
    end_s = time.monotonic() + options.minutes * 60
    has_passed = True
    for fault_names, seed in REGRESSION_CASES:
        has_passed &= asyncio.run(run_case(fault_names, seed))
    for number, pair in enumerate(pairs):
        if time.monotonic() > end_s:
            break
        has_passed &= asyncio.run(run_case(pair, options.first_seed + number))
    return int(not has_passed)


if __name__ == '__main__':
    sys.exit(main())
