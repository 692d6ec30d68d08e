"""The entry of a draining executor expires while the store is down."""

import asyncio
import sys
from pathlib import Path

from review.standin.cell import find_twice, run_case

TASK_MS = 12_000
# The site's executors stay for 6 s; the pages let them stay longer.
REMAINING_MS = 6000
STAYS_S = 8.0
OUTAGE_S = 4.8
OUTAGE_AFTER_S = 0.2


async def play(cell, has_trouble):
    """Drains an executor, and lets the store be down meanwhile."""
    step = {
        'count': 10,
        'cpu': 3000,
        'memMb': 2000,
        'estimateMs': TASK_MS,
    }
    for number in range(2):
        job_id = f'{0xD0DE0000 + number:016x}'
        assert await cell.submit(job_id, f'run {TASK_MS}', [step]) == 200

    async def all_run():
        return len(cell.runs) == 20

    assert await cell.until(all_run, 5)
    await asyncio.sleep(1)
    executor = cell.executors[cell.runs[0].executor]
    executor.state, executor.remaining_ms = 'draining', REMAINING_MS
    cell.publish(executor)
    cell.record.add(f'test {executor.executor_id} reports draining')
    await asyncio.sleep(OUTAGE_AFTER_S)
    if has_trouble:
        cell.store.is_down = True
        cell.record.add('test the store is down')
    await asyncio.sleep(OUTAGE_S)
    cell.store.is_down = False
    cell.record.add('test the store is up')
    await asyncio.sleep(STAYS_S - OUTAGE_S - OUTAGE_AFTER_S)
    cell.leave(executor)
    await asyncio.sleep(2 * TASK_MS / 1000)
    return find_twice(cell.runs)


if __name__ == '__main__':
    sys.exit(run_case(play, Path(__file__).parent, executors_count=6))
