"""Duration of a tick with and without workspaces.

176 targets, of which some or nearly all room is used, 20 workspaces and 500
waiting steps, more than there is room for. The second tick of a planner is
measured, as the first one rates all jobs.
"""

import random
import time
from itertools import product
from typing import Final

from benchmarks.harness import BENCHMARKS, Figure, at_most
from radishlift.core.ids import Address, DataCentreId, JobId, WorkspaceName
from radishlift.steps.ids import (
    QueueName,
    StepKey,
    TargetId,
    TargetIncarnation,
    TaskKey,
)
from radishlift.steps.planner import Planner
from radishlift.steps.runs import JobRun, build_job
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import Amounts, JobSpec, QueueTerms, StepSpec
from radishlift.steps.targets import TargetEntry, TargetState, TargetTable
from radishlift.steps.tickets import TicketTable
from radishlift.steps.workspaces import NO_WORKSPACE, WorkspaceTerms
from tests.steps.builders import SERVICE

TARGETS_COUNT: Final = 176
WORKSPACES: Final = tuple(WorkspaceName(f'w{index}') for index in range(20))
STEPS_COUNT: Final = 500
SEEDS: Final = range(12)
USED_SHARES: Final = (0.5, 0.99)
TASK_MILLICORES: Final = (1000, 3500, 9000)
CAPACITY: Final = Amounts(32_000, 65_536)
LIMIT: Final = Amounts(3_000_000)
# The share of a tick without workspaces that a tick with them may take.
MAX_RATIO: Final = 1.2


def build_planner(seed: int, used_share: float, names: bool) -> Planner:
    """Returns a planner with a backlog; `names` is whether jobs have owners."""
    generator = random.Random(seed)
    targets = TargetTable()
    running = StepKey(JobId('f' * 16), 0, 0)
    for number in range(TARGETS_COUNT):
        target = targets.update(_entry(number))
        used = Amounts(int(CAPACITY.cpu_millicores * used_share))
        target.allocate(TaskKey(running, number), 1, used)
    planner = Planner(targets, TicketTable(), StepSettings())
    terms = {name: WorkspaceTerms(name, 5, LIMIT) for name in WORKSPACES}
    planner.limits.update_terms(terms, ())
    for number in range(STEPS_COUNT):
        job = _job(number, generator)
        name = generator.choice(WORKSPACES)
        job.workspace = name if names else NO_WORKSPACE
        planner.update_job(job)
    return planner


def measure_tick_ms(seed: int, used_share: float, *, names: bool) -> float:
    """Returns the processor time of a planner's second tick."""
    planner = build_planner(seed, used_share, names)
    planner.plan(0, 0)
    begin_s = time.process_time()
    planner.plan(1, 1)
    return (time.process_time() - begin_s) * 1000


@BENCHMARKS.register('shares')
def bench_shares() -> list[Figure]:
    """Measures ticks; compares the fastest, as the machine may be busy."""
    figures = []
    for used_share in USED_SHARES:
        label = f'tick_at_{used_share:.0%}'.replace('%', '_percent')
        fastest_ms = {False: float('inf'), True: float('inf')}
        for seed, names in product(SEEDS, fastest_ms):
            tick_ms = measure_tick_ms(seed, used_share, names=names)
            fastest_ms[names] = min(fastest_ms[names], tick_ms)
        ratio = fastest_ms[True] / fastest_ms[False]
        figures.append(Figure(f'{label}_ms', fastest_ms[True]))
        figures.append(Figure(f'{label}_ratio', ratio, at_most(MAX_RATIO)))
    return figures


def _entry(number: int) -> TargetEntry:
    return TargetEntry(
        TargetId(f't{number:03}'),
        TargetIncarnation(1),
        SERVICE,
        Address('127.0.0.1:1'),
        DataCentreId('z1'),
        TargetState.ready,
        CAPACITY,
        frozenset(),
    )


def _job(number: int, generator: random.Random) -> JobRun:
    amounts = Amounts(generator.choice(TASK_MILLICORES), 100)
    step = StepSpec(generator.randint(1, 20), amounts, 1000)
    terms = QueueTerms(
        QueueName('batch'),
        SERVICE,
        priority=generator.randint(0, 2),
        stretch=2,
        objective_ms=1000,
    )
    return build_job(JobSpec(JobId(f'{number:016x}'), '', (step,)), terms, 0)
