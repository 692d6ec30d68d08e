"""Memory of a partition's state in bytes per entry."""

import tracemalloc
from collections.abc import Callable
from typing import Any

from benchmarks.harness import BENCHMARKS, Figure
from radishlift.core.ids import (
    DaemonId,
    DataCentreId,
    DepartmentName,
    IdempotencyKey,
    Incarnation,
    JobId,
    RackId,
    TeamName,
    WorkerId,
)
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.jobs import JobKind, JobSpec, Resources, WorkerInfo
from radishlift.placement.state import PartitionState
from radishlift.requests.idempotency import IdempotencyTable, RequestIntent

WORKER_COUNTS = (100, 200, 400)
TASK_COUNTS = (1_000, 2_000, 4_000)
KEY_COUNTS = (1_000, 2_000, 4_000)


def engine_with_workers(count: int) -> PlacementEngine:
    """Builds a placement engine with workers."""
    engine = PlacementEngine(PartitionState())
    for number in range(count):
        engine.observe_worker(
            WorkerInfo(
                WorkerId(f'127.0.0.1:{20_000 + number}'),
                Incarnation(f'i{number:08x}'),
                RackId(f'rack-{number // 8}'),
                DataCentreId('pinetown'),
                Resources(30_000, 130_000),
            ),
        )
    engine.tick(1)
    return engine


def engine_with_tasks(count: int) -> PlacementEngine:
    """Builds a placement engine with 400 workers that run tasks."""
    engine = engine_with_workers(400)
    for number in range(count):
        spec = JobSpec(
            JobId(f'rug_depot-7-{number:06}'),
            DepartmentName('rug_depot'),
            TeamName('wash_floor'),
            'wash_run',
            JobKind.batch,
            1,
            Resources(1_000, 2_000),
            800_000,
        )
        engine.accept(spec, 1)
    now_ms = 2
    while engine.tick(now_ms):
        now_ms += 1
    return engine


def table_with_keys(count: int) -> IdempotencyTable:
    """Builds a table of idempotency keys with unanswered requests."""
    table = IdempotencyTable()
    for number in range(count):
        table.apply(
            RequestIntent(
                IdempotencyKey(f'rugdesk/booking-{number:08}'),
                f'{number:064x}',
                DaemonId('d1'),
                f'{number:016x}',
                number,
            ),
        )
    return table


def slope_bytes(
    build: Callable[[int], Any],
    counts: tuple[int, ...],
) -> float:
    """Returns bytes per entry between the smallest and the largest size."""
    sizes = []
    for count in counts:
        tracemalloc.start()
        kept = build(count)
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return (sizes[-1] - sizes[0]) / (counts[-1] - counts[0])


@BENCHMARKS.register('memory')
def run_memory() -> list[Figure]:
    """Measures bytes per worker, running task and idempotency key."""
    return [
        Figure(
            'memory_worker_bytes',
            slope_bytes(engine_with_workers, WORKER_COUNTS),
        ),
        Figure(
            'memory_running_task_bytes',
            slope_bytes(engine_with_tasks, TASK_COUNTS),
        ),
        Figure('memory_key_bytes', slope_bytes(table_with_keys, KEY_COUNTS)),
    ]
