"""More than 500 tasks end on one executor while there is no leader."""

import asyncio
import signal
import sys
import time
from pathlib import Path

from review.standin.cell import find_twice, run_case

JOBS_COUNT = 70
TASKS_COUNT = 10
TASKS_MS = tuple(range(3200, 3600, 40))
KILLED_AFTER_S = 3.1
DOWN_S = 3.5


async def play(cell, has_trouble):
    """Kills the leader shortly before the tasks of many jobs end."""
    step = {
        'count': TASKS_COUNT,
        'cpu': 40,
        'memMb': 16,
        'estimateMs': TASKS_MS[-1],
    }
    spec = ' '.join(('run', *map(str, TASKS_MS)))
    answers = await asyncio.gather(
        *(
            cell.submit(f'{0xC0DE0000 + number:016x}', spec, [step])
            for number in range(JOBS_COUNT)
        )
    )
    assert answers.count(200) == JOBS_COUNT

    async def all_run():
        return len(cell.runs) >= JOBS_COUNT * TASKS_COUNT

    assert await cell.until(all_run, KILLED_AFTER_S)
    first_s = min(run.started_s for run in cell.runs)
    await asyncio.sleep(first_s + KILLED_AFTER_S - time.monotonic())
    if has_trouble:
        killed = cell.leader()
        cell.signal(killed, signal.SIGKILL)
        await cell.daemons[killed].wait()
        await asyncio.sleep(DOWN_S)
        await cell.start_daemon(killed)
    await asyncio.sleep(16)
    return find_twice(cell.runs)


if __name__ == '__main__':
    sys.exit(run_case(play, Path(__file__).parent))
