"""Checks of the executors' own records; pure functions."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

START_FIRST = -1


@dataclass(slots=True)
class Execution:
    """One execution in an executor's record, on the host's clock.

    `end_ms` is None while the execution runs.
    """

    executor: str
    request_id: str
    key: str
    request_class: str
    start_ms: float
    end_ms: float | None = None


def peaks(executions: Iterable[Execution]) -> dict[str, int]:
    """Computes the most executions at once of each executor."""
    moves: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for execution in executions:
        moves[execution.executor].append((execution.start_ms, 1))
        if execution.end_ms is not None:
            moves[execution.executor].append((execution.end_ms, -1))
    return {executor: _peak(steps) for executor, steps in moves.items()}


def peaks_above(
    executions: Iterable[Execution],
    slots_count: int,
) -> dict[str, int]:
    """Finds executors that ran more requests at once than their slots."""
    return {
        executor: peak
        for executor, peak in peaks(executions).items()
        if peak > slots_count
    }


def keys_that_ran_twice(executions: Iterable[Execution]) -> set[str]:
    """Finds idempotency keys that were executed more than once."""
    counts = Counter(each.key for each in executions if each.key)
    return {key for key, count in counts.items() if count > 1}


def ran(executions: Iterable[Execution], request_id: str) -> bool:
    """Tells whether an attempt of a request reached an executor."""
    attempts = f'{request_id}.'
    return any(each.request_id.startswith(attempts) for each in executions)


def _peak(steps: list[tuple[float, int]]) -> int:
    running = 0
    peak = 0
    # At equal times an end precedes a start.
    for _, step in sorted(steps):
        running += step
        peak = max(peak, running)
    return peak
