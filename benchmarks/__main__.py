"""Runs the benchmarks and writes `build/bench.json`.

Exits with 1 if a figure is outside its bound or a benchmark fails. Arguments
select benchmarks by name. Benchmarks are modules `benchmarks/bench_*.py`.
"""

import json
import sys
import traceback
from importlib import import_module
from pathlib import Path

from benchmarks.harness import BENCHMARKS, Figure
from radishlift.core.logs import setup_logs

RESULT_PATH = Path('build/bench.json')


def load_benchmarks() -> None:
    """Imports the modules that register benchmarks."""
    for path in sorted(Path(__file__).parent.glob('bench_*.py')):
        import_module(f'benchmarks.{path.stem}')


def show(figure: Figure) -> None:
    """Prints a figure with its bound."""
    bound = ''
    if figure.bound is not None:
        verdict = 'kept' if figure.is_within_bound else 'BROKEN'
        bound = f'{figure.bound.kind.value} {figure.bound.limit:g} {verdict}'
    print(f'{figure.name:56} {figure.number:>14.6g}  {bound}', flush=True)


def main() -> int:
    """Runs the selected benchmarks, or all."""
    setup_logs('ERROR')
    load_benchmarks()
    selected = sys.argv[1:] or BENCHMARKS.names()
    figures: list[Figure] = []
    crashed: list[str] = []
    for name in selected:
        run = BENCHMARKS.get(name)
        if run is None:
            print(f'no benchmark {name}; there are {BENCHMARKS.names()}')
            return 2
        print(f'# {name}', flush=True)
        try:
            measured = run()
        except Exception:
            # The other benchmarks still run; the exit status is 1.
            traceback.print_exc()
            crashed.append(name)
            continue
        for figure in measured:
            figures.append(figure)
            show(figure)
    RESULT_PATH.parent.mkdir(exist_ok=True)
    numbers = {figure.name: figure.number for figure in figures}
    RESULT_PATH.write_text(json.dumps(numbers, indent=2), encoding='utf-8')
    broken = [figure for figure in figures if not figure.is_within_bound]
    print(f'{len(broken)} bounds are broken; crashed: {crashed or "none"}')
    return 1 if broken or crashed else 0


if __name__ == '__main__':
    sys.exit(main())
