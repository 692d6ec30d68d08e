"""Builds jobs, workers and engines for the tests of placement."""

from typing import Any

from radishlift.core.ids import (
    DataCentreId,
    DepartmentName,
    Incarnation,
    JobId,
    RackId,
    TeamName,
    WorkerId,
)
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.jobs import (
    JobKind,
    JobSpec,
    Resources,
    WorkerInfo,
)
from radishlift.placement.records import TaskPlaced
from radishlift.placement.state import PartitionState

LARGE_WORKER = Resources(30_000, 130_000)


def make_worker(
    number: int,
    capacity: Resources = LARGE_WORKER,
    incarnation: str = 'i1',
) -> WorkerInfo:
    return WorkerInfo(
        WorkerId(f'10.0.0.{number}:9000'),
        Incarnation(incarnation),
        RackId(f'r{number // 8}'),
        DataCentreId('umlazi'),
        capacity,
    )


def make_job(job_id: str = 'j1', **changes: Any) -> JobSpec:
    fields: dict[str, Any] = {
        'job_id': JobId(job_id),
        'department': DepartmentName('rugs'),
        'team': TeamName('wash'),
        'name': 'wash-batch',
        'kind': JobKind.batch,
        'task_count': 1,
        'demand': Resources(1_000, 2_000),
        'run_time_ms': 1_000,
        **changes,
    }
    return JobSpec(**fields)


def make_engine(
    *workers: WorkerInfo,
    **options: Any,
) -> tuple[PartitionState, PlacementEngine]:
    """Makes an engine whose timer stands still, so that no tick is cut off."""
    state = PartitionState()
    options.setdefault('timer', float)
    engine = PlacementEngine(state, **options)
    for worker in workers:
        engine.observe_worker(worker)
    engine.tick(0)
    return state, engine


def find_starts(records: list[Any]) -> list[TaskPlaced]:
    return [record for record in records if isinstance(record, TaskPlaced)]


def find_only_start(records: list[Any]) -> TaskPlaced:
    starts = find_starts(records)
    assert len(starts) == 1
    return starts[0]


class SteppingTimer:
    """A timer that advances by a fixed step at each call."""

    def __init__(self, step_us: int) -> None:
        self.now_us = 0
        self._step_us = step_us

    def __call__(self) -> float:
        self.now_us += self._step_us
        return self.now_us / 1_000_000
