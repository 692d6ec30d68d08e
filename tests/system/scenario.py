"""One run of the fault matrix: both departments at peak, some faults."""

import asyncio
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from tests.system.cell import Cell
from tests.system.faults import FAULTS, FaultContext
from tests.system.invariants import check_all, count_outcomes
from tests.system.shapes import SHAPES
from tests.system.traffic import (
    LoadOptions,
    collect_evidence,
    running_daemons,
    send_traffic,
    unfinished_jobs,
)
from tests.system.wide_faults import SOAK_ONLY

FIRST_FAULT_S = 2.0
LAST_FAULT_S = 5.0
SETTLE_TIMEOUT_S = 60
WATCH_INTERVAL_S = 0.3
DURATION_MS = 10_000
LONG_DURATION_MS = 80_000


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Violations by check, and the number of requests and jobs by outcome."""

    violations: dict[str, list[str]]
    outcomes: dict[str, int]


async def run_scenario(
    folder: Path,
    fault_names: Sequence[str],
    seed: int,
) -> ScenarioResult:
    """Runs the traffic of both departments under faults."""
    is_long = not SOAK_ONLY.isdisjoint(fault_names)
    duration_ms = LONG_DURATION_MS if is_long else DURATION_MS
    cell = Cell(folder, tuple(SHAPES.values()))
    options = LoadOptions(
        requests_per_s=60,
        jobs_per_s=5,
        duration_ms=duration_ms,
        seed=seed,
    )
    context = FaultContext(cell, seed)
    versions: dict[str, list[int]] = defaultdict(list)
    try:
        await cell.start()
        watch = asyncio.create_task(_watch_versions(cell, versions))
        results = await send_traffic(
            cell,
            options,
            lambda: _cause_faults(context, fault_names),
        )
        open_jobs = await unfinished_jobs(cell, results, SETTLE_TIMEOUT_S)
        has_same_version = await _versions_agree(cell)
        watch.cancel()
        evidence = await collect_evidence(
            cell,
            results,
            open_jobs,
            context.killed,
        )
    finally:
        await cell.stop()
    evidence.leaving_since_ms = context.leaving_since_ms
    evidence.config_versions = versions
    if all(name.startswith('store_') for name in fault_names):
        evidence.uninterrupted_tasks = context.uninterrupted_tasks
    violations = check_all(evidence)
    if not has_same_version:
        violations['configuration_in_force_everywhere'] = [
            'the daemons report different versions or none'
        ]
    return ScenarioResult(violations, dict(count_outcomes(results)))


async def _cause_faults(
    context: FaultContext,
    fault_names: Sequence[str],
) -> None:
    await asyncio.gather(*(_cause_fault(context, name) for name in fault_names))


async def _cause_fault(context: FaultContext, name: str) -> None:
    fault = FAULTS.get(name)
    if fault is None:
        raise ValueError(f'no fault {name}')
    await asyncio.sleep(context.random.uniform(FIRST_FAULT_S, LAST_FAULT_S))
    await fault(context)


async def _watch_versions(cell: Cell, versions: dict[str, list[int]]) -> None:
    while True:
        answers = await asyncio.gather(
            *(cell.get(name, '/v1/config') for name in cell.names)
        )
        for name, (status, body) in zip(cell.names, answers, strict=True):
            if status == 200:
                versions[name].append(body['version'])
        await asyncio.sleep(WATCH_INTERVAL_S)


async def _versions_agree(cell: Cell) -> bool:
    async def are_equal() -> bool:
        found = set()
        for name in running_daemons(cell):
            status, body = await cell.get(name, '/v1/config')
            found.add(body['version'] if status == 200 else None)
        return len(found) == 1 and None not in found

    try:
        await cell.wait_for(are_equal, 20)
    except AssertionError:
        return False
    return True
