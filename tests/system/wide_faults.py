"""Faults of many hosts at once, and outages of one minute."""

import asyncio
import time
from typing import Final

from radishlift.load.traffic import TRAFFIC
from tests.system.faults import FAULTS, FaultContext
from tests.system.shapes import RACK_SIZE

LONG_OUTAGE_S: Final = 60.0
REGIONS_CUT_S: Final = 13.0
SLOW_DELAY_MS: Final = 1500
# Longer than the longest outage even at the lowest run time factor, 0.2.
LONG_RUN_MS: Final = 600_000

# Too long for `make test`; the soak runs them.
SOAK_ONLY: Final = frozenset(('store_down_long', 'store_slow_long'))


@FAULTS.register('stop_daemons')
async def stop_daemons(context: FaultContext) -> None:
    """Stops three daemons at once as planned; no request may be cut."""
    names = [context.pick_daemon() for _ in range(3)]
    await context.cell.terminate_daemons(names)


@FAULTS.register('worker_leaves')
async def worker_leaves(context: FaultContext) -> None:
    """Lists a worker as leaving; its tasks continue."""
    await context.mark_leaving(context.pick_worker())


@FAULTS.register('lose_data_centre')
async def lose_data_centre(context: FaultContext) -> None:
    """Loses the workers, executors and daemons of a data centre at once."""
    cell = context.cell
    index = context.random.randrange(3)
    lost = set()
    for department in cell.workers:
        rack = slice(index * RACK_SIZE, (index + 1) * RACK_SIZE)
        lost.update(cell.workers[department][rack])
        executors = cell.executors[department][index::3]
        lost.update(executors)
        for executor in executors:
            # Its record of executions is read after it listens again.
            body = {'mode': 'refuse', 'for_ms': 20_000}
            await cell.call('POST', executor, '/admin/mode', body)
    for name in cell.names[index::3]:
        context.picked.add(name)
        context.killed.append(name)
        lost.add(cell.listen[name])
        await cell.kill_daemon(name)
    await context.remove_hosts(lost)


@FAULTS.register('cut_regions')
async def cut_regions(context: FaultContext) -> None:
    """Cuts two groups of daemons from each other; both reach the store."""
    await _cut_regions(context, is_store_cut=False)


@FAULTS.register('cut_regions_and_store')
async def cut_regions_and_store(context: FaultContext) -> None:
    """Cuts two groups of daemons; only the larger one reaches the store."""
    await _cut_regions(context, is_store_cut=True)


@FAULTS.register('store_down_long')
async def store_down_long(context: FaultContext) -> None:
    """Takes the platform's services down while tasks run."""
    await _cause_long_outage(context, 'down', 0)


@FAULTS.register('store_slow_long')
async def store_slow_long(context: FaultContext) -> None:
    """Slows the platform's services down while tasks run."""
    await _cause_long_outage(context, 'none', SLOW_DELAY_MS)


async def _cut_regions(context: FaultContext, *, is_store_cut: bool) -> None:
    cell = context.cell
    names = list(cell.names)
    context.random.shuffle(names)
    small, large = names[:3], names[3:]
    for region, others in ((small, large), (large, small)):
        for name in region:
            cell.peer_relays[name].block_daemons(others)
    if is_store_cut:
        for name in small:
            cell.store_relays[name].cut()
    await asyncio.sleep(REGIONS_CUT_S)
    for name in names:
        cell.peer_relays[name].restore()
        if is_store_cut:
            cell.store_relays[name].restore()


async def _cause_long_outage(
    context: FaultContext,
    mode: str,
    delay_ms: int,
) -> None:
    cell = context.cell
    tasks = {f'{job}/0' for job in await submit_long_jobs(context, 'outage', 4)}
    started = await cell.wait_for_tasks(tasks)
    from_ms = time.monotonic() * 1000
    await cell.set_faults(mode, delay_ms)
    await asyncio.sleep(LONG_OUTAGE_S)
    await cell.set_faults('none')
    context.uninterrupted_tasks.update(
        (task_id, (from_ms, time.monotonic() * 1000)) for task_id in started
    )


async def submit_long_jobs(
    context: FaultContext,
    prefix: str,
    count: int,
    cpu_milli: int = 1000,
) -> list[str]:
    """Submits jobs of one task that outlast the run; returns their ids."""
    cell = context.cell
    jobs = []
    for shape in cell.shapes:
        traffic = TRAFFIC[shape.department]
        for index in range(count):
            job_id = f'{prefix}-{shape.department}-{index}'
            body = {
                'job_id': job_id,
                'department': shape.department,
                'team': traffic.team,
                'name': prefix,
                'kind': 'batch',
                'task_count': 1,
                'demand': {'cpu_milli': cpu_milli, 'memory_mb': 500},
                'run_time_ms': LONG_RUN_MS,
                'priority': 'high',
            }
            address = cell.listen[cell.names[0]]
            status, _ = await cell.call('POST', address, '/v1/jobs', body)
            if status < 300:
                jobs.append(job_id)
    return jobs


__all__ = ('SOAK_ONLY', 'submit_long_jobs')
