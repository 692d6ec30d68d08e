"""Checks of invariants over the records of worker stand-ins."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import asdict, dataclass
from typing import Any


@dataclass(slots=True)
class Execution:
    """One execution of an attempt, in host monotonic ms.

    `end_ms` is None while it runs.
    """

    task_id: str
    attempt: int
    worker_id: str
    start_ms: float
    end_ms: float | None
    cpu_milli: int
    memory_mb: int
    accelerators: int

    @property
    def last_ms(self) -> float:
        """Returns the end time, or infinity while the execution runs."""
        return float('inf') if self.end_ms is None else self.end_ms


@dataclass(slots=True)
class WorkerRecord:
    """Executions on one worker, and the capacity of the worker."""

    worker_id: str
    cpu_milli: int
    memory_mb: int
    accelerators: int
    executions: list[Execution]

    def plain(self) -> dict[str, Any]:
        """Converts to the form served at `/admin/record`."""
        return {**asdict(self), 'peak': peak_committed(self.executions)}


def parse_record(plain: Mapping[str, Any]) -> WorkerRecord:
    """Parses the answer of `/admin/record`."""
    return WorkerRecord(
        plain['worker_id'],
        plain['cpu_milli'],
        plain['memory_mb'],
        plain['accelerators'],
        [Execution(**execution) for execution in plain['executions']],
    )


def tasks_in_two_places(
    records: Iterable[WorkerRecord],
) -> tuple[tuple[Execution, Execution], ...]:
    """Finds pairs of executions of one task that overlapped in time."""
    by_task: dict[str, list[Execution]] = defaultdict(list)
    for record in records:
        for execution in record.executions:
            by_task[execution.task_id].append(execution)
    return tuple(
        pair for group in by_task.values() for pair in _overlaps(group)
    )


def overcommitted_workers(
    records: Iterable[WorkerRecord],
) -> dict[str, dict[str, int]]:
    """Returns the peak reservations of workers that exceeded a capacity."""
    found = {}
    for record in records:
        peak = peak_committed(record.executions)
        if any(peak[name] > getattr(record, name) for name in peak):
            found[record.worker_id] = peak
    return found


def peak_committed(executions: Iterable[Execution]) -> dict[str, int]:
    """Returns the peak of the summed reservations over time.

    An end at the same time as a start is counted first.
    """
    events = []
    for execution in executions:
        amounts = (
            execution.cpu_milli,
            execution.memory_mb,
            execution.accelerators,
        )
        events.append((execution.start_ms, 1, amounts))
        events.append((execution.last_ms, -1, amounts))
    totals, peaks = [0, 0, 0], [0, 0, 0]
    for _, sign, amounts in sorted(events, key=lambda event: event[:2]):
        for index, amount in enumerate(amounts):
            totals[index] += sign * amount
            peaks[index] = max(peaks[index], totals[index])
    names = ('cpu_milli', 'memory_mb', 'accelerators')
    return dict(zip(names, peaks, strict=True))


def _overlaps(group: list[Execution]) -> Iterator[tuple[Execution, Execution]]:
    latest: Execution | None = None
    for execution in sorted(group, key=lambda execution: execution.start_ms):
        if latest is not None and execution.start_ms < latest.last_ms:
            yield latest, execution
        if latest is None or execution.last_ms > latest.last_ms:
            latest = execution


__all__ = (
    'Execution',
    'WorkerRecord',
    'overcommitted_workers',
    'parse_record',
    'peak_committed',
    'tasks_in_two_places',
)
