"""Checks of executions that executor stand-ins recorded."""

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
    """Returns the highest number of concurrent executions by executor."""
    changes: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for execution in executions:
        changes[execution.executor].append((execution.start_ms, 1))
        if execution.end_ms is not None:
            changes[execution.executor].append((execution.end_ms, -1))
    return {executor: _peak(steps) for executor, steps in changes.items()}


def peaks_above(
    executions: Iterable[Execution],
    slots_count: int,
) -> dict[str, int]:
    """Returns the peaks of executors that ran more requests than slots."""
    return {
        executor: peak
        for executor, peak in peaks(executions).items()
        if peak > slots_count
    }


def keys_that_ran_twice(executions: Iterable[Execution]) -> set[str]:
    """Finds idempotency keys that were executed more than once."""
    counts = Counter(execution.key for execution in executions if execution.key)
    return {key for key, count in counts.items() if count > 1}


def was_executed(executions: Iterable[Execution], request_id: str) -> bool:
    """Returns whether an attempt of a request reached an executor."""
    attempts = f'{request_id}.'
    return any(
        execution.request_id.startswith(attempts) for execution in executions
    )


def _peak(changes: list[tuple[float, int]]) -> int:
    running = 0
    peak = 0
    # At equal times an end precedes a start.
    for _, change in sorted(changes):
        running += change
        peak = max(peak, running)
    return peak
