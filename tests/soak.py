"""The long fault matrix: all pairs of faults at seeded moments.

`python -m tests.soak [MINUTES] [FIRST_SEED]` prints the seed of each run, so
that a violation can be run again with `--faults FAULT... --seed SEED`.
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

# Seeds that failed once; each soak runs them first.
KEPT_CASES = (
    # A region that reaches neither the host list nor a daemon that reads it
    # does not hear that an executor leaves.
    (('cut_regions_and_store', 'executor_leaves', 'cancel_wave'), 36),
)


async def run_case(fault_names: Sequence[str], seed: int) -> bool:
    """Runs some faults and prints the verdict."""
    with tempfile.TemporaryDirectory(prefix='radishlift-soak-') as folder:
        verdict = await run_scenario(Path(folder), fault_names, seed)
    state = 'VIOLATED' if verdict.violations else 'held'
    print(f'{"+".join(fault_names)} seed {seed}: {state} {verdict.outcomes}')
    for name, texts in verdict.violations.items():
        print(f'  {name}: {texts[:3]} ({len(texts)} in all)', flush=True)
    return not verdict.violations


def main() -> int:
    """Runs pairs until the time is over; exits with 1 on a violation."""
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
    held = True
    for fault_names, seed in KEPT_CASES:
        held &= asyncio.run(run_case(fault_names, seed))
    for number, pair in enumerate(pairs):
        if time.monotonic() > end_s:
            break
        held &= asyncio.run(run_case(pair, options.first_seed + number))
    return int(not held)


if __name__ == '__main__':
    sys.exit(main())
