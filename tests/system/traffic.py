"""Drives a cell with the load tool and collects the evidence."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

from aiohttp import ClientSession, TCPConnector

from radishlift.core.ids import Address
from radishlift.load.balancer import Balancer
from radishlift.load.runner import LoadResult, LoadRunner
from radishlift.load.traffic import TRAFFIC, plan_jobs, plan_requests
from tests.standins.checks import parse_record
from tests.standins.request_checks import Execution
from tests.system.cell import Cell
from tests.system.invariants import Evidence

RECORDS_TIMEOUT_S = 40
LONGEST_FAULTS_MS = 120_000
FINISHED = ('finished', 'cancelled', 'failed')


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """Rates of each department and the length of the run."""

    requests_per_s: float = 100
    jobs_per_s: float = 4
    duration_ms: int = 10_000
    seed: int = 1
    weights: tuple[int, ...] = ()


async def send_traffic(
    cell: Cell,
    options: LoadOptions,
    meanwhile: Callable[[], Awaitable[None]] | None = None,
) -> list[LoadResult]:
    """Sends the traffic of all departments while faults happen.

    The traffic goes on until the faults are over, also on a slow machine, so
    that each of them meets requests in flight.
    """
    faults_ended = asyncio.Event()
    end_s = time.monotonic() + options.duration_ms / 1000

    def has_ended() -> bool:
        return faults_ended.is_set() and time.monotonic() >= end_s

    async def cause_faults() -> None:
        if meanwhile is not None:
            await meanwhile()
        faults_ended.set()

    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector) as session:
        addresses = tuple(Address(address) for address in cell.listen.values())
        balancer = Balancer(session, addresses, options.weights)
        checks = asyncio.create_task(balancer.run())
        runners = [
            LoadRunner(session, balancer, has_ended) for _ in cell.shapes
        ]
        work = [
            part
            for runner, shape in zip(runners, cell.shapes, strict=True)
            for part in _send(runner, shape.department, options)
        ]
        await asyncio.gather(*work, cause_faults())
        checks.cancel()
    return [runner.result for runner in runners]


def _send(
    runner: LoadRunner,
    department: str,
    options: LoadOptions,
) -> Sequence[Awaitable[None]]:
    traffic = TRAFFIC[department]
    requests = plan_requests(
        traffic,
        options.requests_per_s,
        options.duration_ms + LONGEST_FAULTS_MS,
        options.seed,
    )
    jobs = plan_jobs(
        traffic,
        options.jobs_per_s,
        options.duration_ms + LONGEST_FAULTS_MS,
        options.seed,
    )
    return runner.send_requests(requests), runner.send_jobs(jobs)


async def unfinished_jobs(
    cell: Cell,
    results: Sequence[LoadResult],
    timeout_s: float,
) -> list[str]:
    """Waits for accepted jobs to end; returns those that did not."""
    open_jobs = {job for result in results for job in result.accepted_jobs}

    async def are_done() -> bool:
        for job in sorted(open_jobs):
            name = next(iter(running_daemons(cell)))
            status, body = await cell.get(name, f'/v1/jobs/{job}')
            if status != 200:
                return False
            if set(body['task_counts']) <= set(FINISHED):
                open_jobs.discard(job)
        return not open_jobs

    try:
        await cell.wait_for(are_done, timeout_s)
    except AssertionError:
        return sorted(open_jobs)
    return []


def running_daemons(cell: Cell) -> list[str]:
    """Lists the daemons whose processes run."""
    return [name for name in cell.names if cell.processes.is_running(name)]


async def collect_evidence(
    cell: Cell,
    results: Sequence[LoadResult],
    open_jobs: Sequence[str] = (),
    killed: Sequence[str] = (),
) -> Evidence:
    """Reads the records of all stand-ins.

    Waits for executors that refuse connections for a time.
    """
    workers = [worker for group in cell.workers.values() for worker in group]
    executors = [
        executor for group in cell.executors.values() for executor in group
    ]
    records: list[Any] = []

    async def are_read() -> bool:
        records.clear()
        records.extend(await cell.records(executors))
        return len(records) == len(executors)

    await cell.wait_for(are_read, RECORDS_TIMEOUT_S)
    return Evidence(
        workers=[
            parse_record(record) for record in await cell.records(workers)
        ],
        executions=[
            Execution(**execution)
            for record in records
            for execution in record['executions']
        ],
        results=results,
        unfinished_jobs=open_jobs,
        interrupted_addresses=frozenset(cell.listen[name] for name in killed),
    )
