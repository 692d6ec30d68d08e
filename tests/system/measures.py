"""Waiting time and packing, from the records of the stand-ins."""

from collections.abc import Sequence

from radishlift.load.runner import LoadResult
from tests.standins.checks import WorkerRecord


def waiting_times_ms(
    workers: Sequence[WorkerRecord],
    results: Sequence[LoadResult],
    priority: str | None = None,
) -> list[float]:
    """Returns the sorted times from job submission to first task start.

    Covers the jobs of one priority, or all jobs if `priority` is None.
    """
    first_start_ms: dict[str, float] = {}
    for record in workers:
        for execution in record.executions:
            known_ms = first_start_ms.get(execution.task_id, execution.start_ms)
            first_start_ms[execution.task_id] = min(
                known_ms,
                execution.start_ms,
            )
    submitted_at_ms: dict[str, float] = {}
    for result in results:
        submitted_at_ms.update(
            (job_id, at_ms)
            for job_id, at_ms in result.submitted_at_ms.items()
            if priority in {None, result.job_priorities[job_id]}
        )
    return sorted(
        start_ms - submitted_at_ms[job_id]
        for task_id, start_ms in first_start_ms.items()
        if (job_id := task_id.rpartition('/')[0]) in submitted_at_ms
    )


def percentile(ordered: Sequence[float], percent: float) -> float:
    """Returns a percentile of sorted numbers; 0 for none."""
    if not ordered:
        return 0
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index]


def packing_ratio(workers: Sequence[WorkerRecord]) -> float:
    """Returns the committed fraction of the processors of workers in use.

    The average over time is weighted by the capacity of the workers that run
    tasks at each moment.
    """
    committed = 0.0
    in_use = 0.0
    for record in workers:
        events = []
        for execution in record.executions:
            if execution.end_ms is not None:
                events.append((execution.start_ms, 1, execution.cpu_milli))
                events.append((execution.end_ms, -1, execution.cpu_milli))
        running, cpu_milli, last_ms = 0, 0, 0.0
        for at_ms, step, amount in sorted(events):
            if running:
                committed += cpu_milli * (at_ms - last_ms)
                in_use += record.cpu_milli * (at_ms - last_ms)
            running += step
            cpu_milli += step * amount
            last_ms = at_ms
    return committed / in_use if in_use else 0
